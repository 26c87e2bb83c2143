"""Services around the core: HTTP, peer links, storage and daemons.

The package imports none of its modules, so that a daemon loads only the
modules that it uses: import time adds to the downtime of a restart.
"""

__all__: list[str] = []
