"""Sockets, options and signals of the stand-in processes."""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import socket

from aiohttp import web

LOOPBACK = "127.0.0.1"

#: Stops an HTTP server.
Closer = Callable[[], Awaitable[None]]


def base_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser for the options that all stand-ins share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--id", required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--failure-domain", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--entries", default="", help="ip:port,ip:port")
    return parser


def split_entries(text: str) -> tuple[str, ...]:
    """Returns the addresses of a comma-separated list.

    >>> split_entries("1.2.3.4:5,1.2.3.4:6")
    ('1.2.3.4:5', '1.2.3.4:6')
    """
    return tuple(part for part in text.split(",") if part)


def bind_loopback(port: int) -> socket.socket:
    """Returns a socket bound to a loopback port; 0 selects a free one."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    return listener


def bound_address(listener: socket.socket) -> str:
    """Returns the "ip:port" that a socket is bound to."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


async def serve(app: web.Application, listener: socket.socket) -> Closer:
    """Serves `app` on a bound socket until the returned closer is awaited."""
    runner = web.AppRunner(
        app, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
    )
    await runner.setup()
    await web.SockSite(runner, listener).start()
    return runner.cleanup


async def wait_for_sigterm() -> None:
    """Returns once the process has received SIGTERM or SIGINT."""
    signal_received = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, signal_received.set)
    await signal_received.wait()
