"""Commands that read, check and change the declarations."""

import asyncio
import getpass
from typing import Annotated

import typer

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.cli import _apply
from lagooncrank.cli import _differences
from lagooncrank.cli import _exit_codes
from lagooncrank.cli import _options
from lagooncrank.cli import _output


def register(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.command()(validate)
    app.command()(diff)
    app.command()(apply)
    app.command()(history)


def validate(file: _options.DeclarationsFile) -> None:
    """Checks a declarations file without sending anything."""
    declarations = settings.load_declarations(file)
    print(
        f"{file}: valid; {len(declarations.model_services)} model services, "
        f"{len(declarations.plain_services)} plain services, "
        f"{len(declarations.client_accounts)} client accounts"
    )


def diff(
    file: _options.DeclarationsFile,
    entry: _options.Entries,
    key_file: _options.KeyFile,
    revision: Annotated[
        int | None,
        typer.Option(
            help="Retained revision to compare with; the current one if absent."
        ),
    ] = None,
    output: _options.Output = _output.OutputFormat.TABLE,
) -> None:
    """Shows what a declarations file would change; exits with 9 if anything."""
    declarations = settings.load_declarations(file)
    client = _options.operator_client(entry, key_file)
    current = asyncio.run(_apply.read_current(client, revision))
    found = _differences.differences(current.declarations, declarations)
    _output.print_message(f"compared with revision {current.revision}")
    _output.show(model.to_builtins(found), output)
    if found:
        raise typer.Exit(_exit_codes.ExitCode.DIFFERS)


def history(
    entry: _options.Entries,
    key_file: _options.KeyFile,
    output: _options.Output = _output.OutputFormat.TABLE,
) -> None:
    """Lists the retained revisions, oldest first."""
    client = _options.operator_client(entry, key_file)
    revisions = asyncio.run(client.get("/v1/config/history"))
    _output.show(
        revisions, output, ("revision", "change_id", "author", "wall_ms")
    )


def apply(
    file: _options.DeclarationsFile,
    entry: _options.Entries,
    key_file: _options.KeyFile,
    base_revision: Annotated[
        int | None,
        typer.Option(
            help="Revision the file was edited from; the current one if absent."
        ),
    ] = None,
    change_id: Annotated[
        str | None,
        typer.Option(
            help="Id of this change; derived from base and content if absent."
        ),
    ] = None,
    author: Annotated[
        str | None,
        typer.Option(help="Author of the change; the login name if absent."),
    ] = None,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until in force at every node.")
    ] = False,
    timeout_s: Annotated[
        float, typer.Option(min=0, help="Longest --wait, in seconds.")
    ] = 60.0,
    output: _options.Output = _output.OutputFormat.TABLE,
) -> None:
    """Validates a declarations file, then puts it in force."""
    declarations = settings.load_declarations(file)
    client = _options.operator_client(entry, key_file)
    requested = _apply.RequestedChange(
        declarations, base_revision, change_id, author or getpass.getuser()
    )
    wait_ms = int(timeout_s * clock.MS_PER_S) if wait else None
    apply_run = _apply.ApplyRun(client, requested, wait_ms, clock.SystemClock())
    result = asyncio.run(apply_run.run())
    _output.show(result, output)
