"""Command line and life of the daemon `lagooncrankd`."""

import asyncio
import pathlib
import signal
import sys
from typing import Annotated

import logbook
import typer

from lagooncrank import clock as clocks
from lagooncrank import settings
from lagooncrank.server import _daemon
from lagooncrank.server import _logging
from lagooncrank.server import _shared_state
from lagooncrank.server import _sockets
from lagooncrank.server import links
from lagooncrank.server import storage

#: Exit status when requests were cut off by the stop deadline.
CUT_OFF_STATUS = 3
#: Exit status when the settings cannot be used.
SETTINGS_STATUS = 2
#: Exit status when the data folder cannot be used.
STORAGE_STATUS = 4

_log = logbook.Logger(__name__)


def run(
    settings_file: Annotated[
        pathlib.Path, typer.Argument(help="YAML file with process settings.")
    ],
) -> None:
    """Runs one node until SIGTERM or SIGINT."""
    try:
        process = settings.load_process_settings(settings_file)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(SETTINGS_STATUS) from error
    clock = clocks.SystemClock()
    _logging.set_up(sys.stderr, clock, process.node_id, process.log_level)
    try:
        in_time = asyncio.run(_serve(process, clock))
    except storage.StorageError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(STORAGE_STATUS) from error
    raise typer.Exit(0 if in_time else CUT_OFF_STATUS)


def main() -> None:
    """Entry point of the command."""
    typer.run(run)


async def _serve(
    process: settings.ProcessSettings, clock: clocks.Clock
) -> bool:
    peer_links = links.Links.from_settings(process, clock)
    shared = _shared_state.ReplicatedState.from_settings(
        process, peer_links, clock, incarnation=clock.wall_ms()
    )
    daemon = _daemon.Daemon(
        process,
        _sockets.listener(process.own.entry_address),
        shared,
        peer_links,
        clock,
        first_services=(peer_links, shared),
    )
    await daemon.start()
    _log.info("serving", extra={"address": process.own.entry_address})
    stopping = asyncio.Event()
    _on_signals(stopping, daemon)
    await stopping.wait()
    in_time = await daemon.planned_stop.run()
    await daemon.stop()
    _log.info("stopped", extra={"in_time": in_time})
    return in_time


def _on_signals(stopping: asyncio.Event, daemon: _daemon.Daemon) -> None:
    """Makes the first signal stop the node and the second one hurry it."""

    def received() -> None:
        if stopping.is_set():
            daemon.planned_stop.hurry()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, received)
