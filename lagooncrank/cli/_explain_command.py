"""Command that explains why a request failed."""

import pathlib
from typing import Annotated

import typer

from lagooncrank.cli import _explain
from lagooncrank.cli import _log_files
from lagooncrank.cli import _output

#: Exit code if no line names the request.
NOT_FOUND = 1


def register(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("explain")(run)


def run(
    request: Annotated[
        str, typer.Argument(help="Request id that the caller set.")
    ],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(
            help="Log files of the nodes; standard input if absent."
        ),
    ] = None,
) -> None:
    """Shows what happened to a request, from the logs of all nodes."""
    lines = _explain.parse_lines(_log_files.read_texts(logs or []))
    timeline = list(_explain.request_timeline(request, lines))
    for sentence in timeline:
        print(sentence)
    if not timeline:
        _output.print_message(
            f"lagooncrank: no line names {request!r}; pass the logs of every "
            "entry for the time when the caller sent it"
        )
        raise typer.Exit(NOT_FOUND)
