"""Services round the core: HTTP, peer links, storage, daemon."""
