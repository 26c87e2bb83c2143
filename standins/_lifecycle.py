"""Lifecycle of a stand-in process: serve, announce, leave."""

import argparse
from typing import Protocol

from aiohttp import web

from lagooncrank import model
from standins import _announcer
from standins import _process


class AnnouncingServer(Protocol):
    """A stand-in backend server that announces itself to entries."""

    #: Address "ip:port", set before the first announcement.
    address: str
    #: Whether announcements report the state "leaving".
    is_leaving: bool

    def app(self) -> web.Application:
        """Returns the HTTP application."""

    def announcement(self, sequence: int) -> model.Announcement:
        """Returns an announcement of the current state."""


async def run_until_sigterm(
    server: AnnouncingServer, arguments: argparse.Namespace
) -> None:
    """Serves and announces a stand-in until SIGTERM, then announces leaving.

    Args:
        server: The stand-in.
        arguments: Parsed options of the base parser: the port to listen on and
            the entries to announce to.
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
