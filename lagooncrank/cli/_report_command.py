"""Command that reports who was served on time, and why others were not."""

import pathlib
from typing import Annotated

import typer

from lagooncrank.cli import _day_report
from lagooncrank.cli import _explain
from lagooncrank.cli import _log_files
from lagooncrank.cli import _output

#: Exit code if no line tells the end of a request.
NOT_FOUND = 1


def register(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("report")(run)


def run(
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(
            help="Log files of the nodes; standard input if absent."
        ),
    ] = None,
    interval_ms: Annotated[
        int, typer.Option(min=100, help="Length of an interval of the tables.")
    ] = 2_000,
) -> None:
    """Shows outcomes of requests, first causes and idle engines over time."""
    lines = _explain.parse_lines(_log_files.read_texts(logs or []))
    rows = list(_day_report.report(lines, interval_ms))
    for row in rows:
        print(row)
    if not rows:
        _output.print_message(
            "lagooncrank: no line tells the end of a request; pass the logs "
            "of the entries"
        )
        raise typer.Exit(NOT_FOUND)
