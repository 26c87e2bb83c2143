"""Life of a stand-in that announces itself: serve, announce, leave."""

import argparse
from typing import Protocol

from aiohttp import web

from lagooncrank import model
from standins import _announcer
from standins import _process


class AnnouncingServer(Protocol):
    """A stand-in for a backend server."""

    #: Address "ip:port", set once it listens.
    address: str
    #: Whether it announces that it leaves.
    is_leaving: bool

    def app(self) -> web.Application:
        """Returns the HTTP application."""

    def announcement(self, sequence: int) -> model.Announcement:
        """Returns what it says of itself now."""


async def run_until_sigterm(
    server: AnnouncingServer, arguments: argparse.Namespace
) -> None:
    """Serves and announces a stand-in; says that it leaves at the end.

    Args:
        server: The stand-in.
        arguments: Port to listen on and entries to announce to, as the base
            parser reads them.
    """
    listener = _process.bind_loopback(arguments.port)
    server.address = _process.bound_address(listener)
    close = await _process.serve(server.app(), listener)
    entries = _process.split_entries(arguments.entries)
    announcer = _announcer.Announcer(entries, server.announcement)
    await announcer.start()
    await _process.wait_for_sigterm()
    server.is_leaving = True
    await announcer.announce()
    await announcer.stop()
    await close()
