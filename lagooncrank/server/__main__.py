"""Runs the daemon: `python -m lagooncrank.server SETTINGS.yaml`."""

from lagooncrank.server import main

main()
