"""Command that tells why a request failed."""

from collections.abc import Iterator
import pathlib
import sys
from typing import Annotated

import typer

from lagooncrank.cli import _explain
from lagooncrank.cli import _output

#: Exit code when no line names the request.
NOT_FOUND = 1


def register(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("explain")(run)


def run(
    request: Annotated[
        str, typer.Argument(help="The caller's id of the request.")
    ],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help="Logs of the nodes; none reads standard input."),
    ] = None,
) -> None:
    """Tells what happened to a request, from the logs of all nodes."""
    lines = _explain.read_lines(_texts(logs or []))
    story = list(_explain.request_timeline(request, lines))
    for sentence in story:
        print(sentence)
    if not story:
        _output.progress(
            f"lagooncrank: no line names {request!r}; give the logs of every "
            "entry, and of the time when the caller sent it"
        )
        raise typer.Exit(NOT_FOUND)


def _texts(logs: list[pathlib.Path]) -> Iterator[str]:
    if not logs:
        yield from sys.stdin
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
