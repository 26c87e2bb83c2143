"""Commands that drain instances and release quarantined contents."""

import asyncio
from typing import Annotated
from typing import Any
import urllib.parse

import typer

from lagooncrank.cli import _client
from lagooncrank.cli import _options
from lagooncrank.cli import _output

_TABLE = _output.OutputFormat.TABLE

InstanceArgument = Annotated[
    str | None,
    typer.Argument(
        metavar="[INSTANCE]",
        help="Instance to drain; without one, lists the drained instances.",
    ),
]
DigestArgument = Annotated[
    str | None,
    typer.Argument(
        metavar="[DIGEST]",
        help="Digest of the content to release; without one, lists all.",
    ),
]


def register(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.command()(drain)
    app.command()(quarantine)


def drain(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    instance: InstanceArgument = None,
    end: Annotated[
        bool,
        typer.Option("--end", help="End the drain: use the instance again."),
    ] = False,
    output: _options.Output = _TABLE,
) -> None:
    """Takes an instance out of use, or lists the drained instances."""
    client = _options.operator_client(entry, key_file)
    if instance is None:
        if end:
            raise typer.BadParameter("--end needs an INSTANCE")
        columns = ("instance_id", "wall_ms", "held_by")
        listed = asyncio.run(client.get("/v1/drain"))
        _output.show(listed, output, columns)
    elif end:
        quoted = urllib.parse.quote(instance, safe="")
        asyncio.run(client.delete(f"/v1/drain/{quoted}"))
        _output.show({"instance_id": instance, "drained": False}, output)
    else:
        drained = asyncio.run(_drain(client, instance))
        _output.show(drained, output)
        if drained["held_by"]:
            _output.print_message(
                f"{drained['held_by']} still holds {instance}; run "
                "'lagooncrank drain' until it no longer does"
            )


async def _drain(
    client: _client.OperatorClient, instance: str
) -> dict[str, Any]:
    """Orders a drain and returns its progress."""
    await client.post("/v1/drain", {"instance_id": instance})
    for drained in await client.get("/v1/drain"):
        if drained["instance_id"] == instance:
            return dict(drained)
    return {"instance_id": instance, "held_by": None}


def quarantine(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    lift: DigestArgument = None,
    output: _options.Output = _TABLE,
) -> None:
    """Lists contents that crashed backend servers, or releases one."""
    client = _options.operator_client(entry, key_file)
    if lift is None:
        columns = ("digest", "victims", "lapses_wall_ms")
        listed = asyncio.run(client.get("/v1/quarantine"))
        _output.show(listed, output, columns)
    else:
        quoted = urllib.parse.quote(lift, safe="")
        asyncio.run(client.delete(f"/v1/quarantine/{quoted}"))
        _output.show({"digest": lift, "quarantined": False}, output)
