"""The command-line tool."""

from lagooncrank.cli._app import main

__all__ = ["main"]
