"""Life of a seeded daemon: signals, changed settings, planned stop."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import pathlib
import signal
import traceback
from typing import Final

from aiohttp import web

from lagooncrank import decisions
from lagooncrank import settings
from lagooncrank.server import _sockets
from lagooncrank.server.seeded import _node

#: The settings file may change without a signal.
SETTINGS_CHECK_S: Final = 1.0
SHUTDOWN_S: Final = 0.3

#: An application and the address "ip:port" that it is served on, if any.
Site = tuple[web.Application, str]


async def run_node(
    node: _node.Node,
    sites: Sequence[Site],
    settings_file: pathlib.Path,
    load: Callable[[pathlib.Path], settings.SeededSettings],
) -> None:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        node: An entry or a control node.
        sites: HTTP applications beside the node's own.
        settings_file: Read again on SIGHUP and when it changes.
        load: Reads the settings.
    """
    stopping = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    await node.start()
    runners = [await _serve(app, address) for app, address in sites if address]
    watcher = asyncio.create_task(
        _reload_on_change(node, settings_file, load, changed)
    )
    await node.wait(stopping.wait())
    watcher.cancel()
    _note_crash(node)
    await node.leave()
    for runner in runners:
        await runner.cleanup()
    node.decisions.write(decisions.Event.STOPPED)
    await node.stop()


def _note_crash(node: _node.Node) -> None:
    """Writes why the node stops though nobody told it to."""
    if not node.crashed:
        return
    reason = node.crash_reason
    problem = "".join(traceback.format_exception(reason)) if reason else ""
    node.decisions.write(decisions.Event.CRASHED, problem=problem)
    node.decisions.flush()


async def _serve(app: web.Application, address: str) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    await web.SockSite(runner, _sockets.listener(address)).start()
    return runner


async def _reload_on_change(
    node: _node.Node,
    settings_file: pathlib.Path,
    load: Callable[[pathlib.Path], settings.SeededSettings],
    changed: asyncio.Event,
) -> None:
    seen = _stamp(settings_file)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await changed.wait()
        stamp = _stamp(settings_file)
        if not changed.is_set() and stamp == seen:
            continue
        changed.clear()
        seen = stamp
        try:
            node.reload(load(settings_file))
        except settings.SettingsError as error:
            # The settings in use stay until the file can be read.
            node.decisions.write(decisions.Event.RELOADED, problem=str(error))


def _stamp(path: pathlib.Path) -> tuple[int, int]:
    try:
        stat = path.stat()
    except OSError:
        return (0, 0)
    return (stat.st_mtime_ns, stat.st_size)
