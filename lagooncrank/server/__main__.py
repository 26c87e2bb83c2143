"""Runs the daemon: `python -m lagooncrank.server SETTINGS.yaml`."""

from lagooncrank.server import _main

_main.main()
