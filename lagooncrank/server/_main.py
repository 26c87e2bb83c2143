"""Command line and lifecycle of the daemon `lagooncrankd`."""

import asyncio
import enum
import pathlib
import signal
import socket
import sys
from typing import Annotated

import logbook
import typer

from lagooncrank import clock as clocks
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _daemon
from lagooncrank.server import _logging
from lagooncrank.server import _shared_state
from lagooncrank.server import _sockets
from lagooncrank.server import links
from lagooncrank.server import storage

_log = logbook.Logger(__name__)


class ExitStatus(enum.IntEnum):
    """Exit status of the process."""

    #: Stopped as planned; no request was interrupted.
    STOPPED = 0
    #: The settings file cannot be used.
    SETTINGS = 2
    #: The stop deadline passed while requests were in flight.
    CUT_OFF = 3
    #: The data folder cannot be used.
    STORAGE = 4
    #: A service of the node failed; the log names the error.
    CRASHED = 5


def run(
    settings_file: Annotated[
        pathlib.Path, typer.Argument(help="YAML file with process settings.")
    ],
) -> None:
    """Runs one node until SIGTERM or SIGINT."""
    clock = clocks.SystemClock()
    try:
        process = settings.load_process_settings(settings_file)
        with _logging.log_json_lines(
            sys.stderr, clock, process.node_id, process.log_level
        ):
            status = asyncio.run(_serve(process, clock))
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(ExitStatus.SETTINGS) from error
    except storage.StorageError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(ExitStatus.STORAGE) from error
    raise typer.Exit(status)


def main() -> None:
    """Entry point of the command."""
    typer.run(run)


async def run_until_stopped(
    daemon: _daemon.Daemon, stopping: asyncio.Event
) -> ExitStatus:
    """Runs a started node until `stopping` is set or a service fails."""
    waited = await daemon.wait(stopping.wait())
    if waited.stopped:
        await daemon.stop()
        _log.critical("the node failed: {!r}", daemon.crash_reason)
        return ExitStatus.CRASHED
    in_time = await daemon.planned_stop.run()
    await daemon.stop()
    _log.info("stopped", extra={"in_time": in_time})
    return ExitStatus.STOPPED if in_time else ExitStatus.CUT_OFF


async def _serve(
    process: settings.ProcessSettings, clock: clocks.Clock
) -> ExitStatus:
    incarnation = clock.wall_ms()
    entry_listener = _open_listener(
        "entry_address", process.own_node.entry_address
    )
    peer_listener = _open_listener(
        "peer_address", process.own_node.peer_address
    )
    peer_links = links.Links.from_settings(process, clock, peer_listener)
    shared = _shared_state.ReplicatedState.from_settings(
        process, peer_links, clock, incarnation
    )
    daemon = _daemon.Daemon(
        process,
        entry_listener,
        shared,
        peer_links,
        clock,
        incarnation,
        first_services=(peer_links, shared),
    )
    await daemon.start()
    _log.info("serving", extra={"address": process.own_node.entry_address})
    stopping = asyncio.Event()
    _handle_signals(stopping, daemon)
    return await run_until_stopped(daemon, stopping)


def _open_listener(field: str, address: str) -> socket.socket:
    """Returns a listening socket of this node.

    Raises:
        SettingsError: Listening on the address failed.
    """
    try:
        return _sockets.listener(address)
    except OSError as error:
        problem = settings.Problem(
            field,
            f"cannot listen on {address}: {error.strerror}; give an address "
            "of this machine and a free port",
        )
        code = results.ResultCode.INVALID_SETTINGS
        raise settings.SettingsError(code, "own node", [problem]) from error


def _handle_signals(stopping: asyncio.Event, daemon: _daemon.Daemon) -> None:
    """Stops the node at the first signal.

    A second signal skips the notice period of the planned stop.
    """

    def on_signal() -> None:
        if stopping.is_set():
            daemon.planned_stop.skip_notice_period()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
