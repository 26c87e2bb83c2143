"""Reads the log files that a command is given."""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import sys


def read_texts(logs: Iterable[pathlib.Path]) -> Iterator[str]:
    """Yields the lines of all files, or of standard input without any."""
    paths = list(logs)
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
