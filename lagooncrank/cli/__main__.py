"""Runs the command-line tool as `python -m lagooncrank.cli`."""

from lagooncrank import cli

cli.main()
