"""HTTP handlers of an entry."""
