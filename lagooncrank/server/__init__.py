"""Services round the core: HTTP, peer links, storage, daemon."""

from lagooncrank.server._main import main

__all__ = ["main"]
