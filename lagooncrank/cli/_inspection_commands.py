"""Commands that show what the system does."""

import asyncio

import typer

from lagooncrank.cli import _options
from lagooncrank.cli import _output


def register(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.command()(status)


def status(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    output: _options.Output = _output.OutputFormat.TABLE,
) -> None:
    """Shows what one entry sees of itself and the others."""
    client = _options.operator_client(entry, key_file)
    _output.show(asyncio.run(client.get("/v1/status")), output)
