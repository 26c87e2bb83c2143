"""Commands that show the state of the system."""

import asyncio
from collections.abc import Sequence
import pathlib

import typer

from lagooncrank.cli import _options
from lagooncrank.cli import _output

_TABLE = _output.OutputFormat.TABLE


def register(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.command()(status)
    app.command()(accounts)
    app.command()(replicas)
    app.command()(backends)


def status(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    output: _options.Output = _TABLE,
) -> None:
    """Shows the state of one entry, and what it knows of the other nodes."""
    _show(entry, key_file, "/v1/status", output)


def accounts(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    output: _options.Output = _TABLE,
) -> None:
    """Lists the client accounts with their shares and targets."""
    columns = (
        "name",
        "share",
        "share_fraction",
        "first_token_target_ms",
        "max_queued_requests",
        "services",
    )
    _show(entry, key_file, "/v1/accounts", output, columns)


def replicas(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    output: _options.Output = _TABLE,
) -> None:
    """Lists the replicas with their state and members."""
    columns = (
        "replica_id",
        "service",
        "version",
        "state",
        "epoch",
        "fencing_number",
        "fabric_domain_id",
        "instances",
    )
    _show(entry, key_file, "/v1/replicas", output, columns)


def backends(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    output: _options.Output = _TABLE,
) -> None:
    """Lists the backend servers whose lease is valid."""
    columns = (
        "backend_server_id",
        "instance_id",
        "failure_domain_id",
        "kind",
        "state",
        "address",
        "heard_ms_ago",
    )
    _show(entry, key_file, "/v1/backends", output, columns)


def _show(
    entries: list[str],
    key_file: pathlib.Path,
    path: str,
    output: _output.OutputFormat,
    columns: Sequence[str] = (),
) -> None:
    client = _options.operator_client(entries, key_file)
    _output.show(asyncio.run(client.get(path)), output, columns)
