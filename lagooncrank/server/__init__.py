"""Services round the core: HTTP, peer links, storage, daemons.

The package imports none of its modules, so that a daemon loads only what it
uses: time to import is time without service after a restart.
"""

__all__: list[str] = []
