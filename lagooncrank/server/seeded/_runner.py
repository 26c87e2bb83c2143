"""Runs a node as a daemon: signals, reload of settings, graceful stop."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import functools
import pathlib
import signal
import traceback
from typing import Final

from aiohttp import web

from lagooncrank import decisions
from lagooncrank import settings
from lagooncrank.server import _sockets
from lagooncrank.server.seeded import _node
from lagooncrank.server.seeded import _step_guard

#: Interval of checks for a settings file that changed without a signal.
SETTINGS_CHECK_S: Final = 1.0
SHUTDOWN_TIMEOUT_S: Final = 0.3

#: An application and the address "ip:port" to serve it on; empty for none.
Site = tuple[web.Application, str]


async def run_node(
    node: _node.Node,
    sites: Sequence[Site],
    settings_file: pathlib.Path,
    load: Callable[[pathlib.Path], settings.SeededSettings],
) -> None:
    """Runs a node until SIGTERM, SIGINT or a crash of one of its components.

    Args:
        node: Entry or control node.
        sites: HTTP applications to serve in addition to the node's own.
        settings_file: Reloaded on SIGHUP and when it changes.
        load: Reads the settings from the file.
    """
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    await node.start()
    runners = [await _serve(app, address) for app, address in sites if address]
    watcher = asyncio.create_task(
        _reload_on_change(node, settings_file, load, reload_requested)
    )
    await node.wait(stop_requested.wait())
    watcher.cancel()
    _log_crash(node)
    guard = _step_guard.StepGuard(node.decision_log)
    await guard.watch("stop", node.prepare_stop())
    await asyncio.gather(*(runner.cleanup() for runner in runners))
    node.decision_log.write(decisions.Event.STOPPED)
    await node.stop()
    _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores the signals of a node that has stopped.

    The event loop would restore their default actions when it is closed, and
    those end the process.
    """
    numbers = (signal.SIGHUP, signal.SIGTERM)
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def _log_crash(node: _node.Node) -> None:
    """Logs the exception if the node stops because a component crashed."""
    if not node.crashed:
        return
    reason = node.crash_reason
    problem = "".join(traceback.format_exception(reason)) if reason else ""
    node.decision_log.write(decisions.Event.CRASHED, problem=problem)
    node.decision_log.flush()


async def _serve(app: web.Application, address: str) -> web.AppRunner:
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.SockSite(runner, _sockets.listener(address)).start()
    return runner


async def _reload_on_change(
    node: _node.Node,
    settings_file: pathlib.Path,
    load: Callable[[pathlib.Path], settings.SeededSettings],
    reload_requested: asyncio.Event,
) -> None:
    guard = _step_guard.StepGuard(node.decision_log)
    reload = functools.partial(_reload, node, settings_file, load)
    seen = _file_version(settings_file)
    # A change while the process started was not signalled to it.
    guard.run("settings", functools.partial(reload, only_changed=True))
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await reload_requested.wait()
        version = _file_version(settings_file)
        if not reload_requested.is_set() and version == seen:
            continue
        reload_requested.clear()
        seen = version
        guard.run("settings", functools.partial(reload, only_changed=False))


def _reload(
    node: _node.Node,
    settings_file: pathlib.Path,
    load: Callable[[pathlib.Path], settings.SeededSettings],
    *,
    only_changed: bool,
) -> None:
    """Applies the settings in the file, if they are valid.

    Args:
        node: The node.
        settings_file: The file.
        load: Reads the settings from the file.
        only_changed: Whether nothing is done if the node started with them.
    """
    try:
        node_settings = load(settings_file)
    except settings.SettingsError as error:
        # The current settings remain in use until the file is valid again.
        node.decision_log.write(decisions.Event.RELOADED, problem=str(error))
        return
    if not only_changed or node_settings != node.settings:
        node.reload(node_settings)


def _file_version(path: pathlib.Path) -> tuple[int, int]:
    try:
        stat = path.stat()
    except OSError:
        return (0, 0)
    return (stat.st_mtime_ns, stat.st_size)
