"""What the kernel tells of the peer, before the event loop has read it."""

import asyncio
from collections.abc import Callable
import socket
import struct

import pytest

from lagooncrank.server import _peer_presence

NO_LINGER = struct.pack("ii", 1, 0)


def send(peer: socket.socket) -> None:
    peer.sendall(b"GET / HTTP/1.1\r\n\r\n")


def close(peer: socket.socket) -> None:
    peer.close()


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    peer.close()


def close_sending_side(peer: socket.socket) -> None:
    peer.shutdown(socket.SHUT_WR)


# Guards against an end that is seen only once the event loop has read it, or
# not at all behind further bytes.
@pytest.mark.parametrize(
    ("steps", "has_left"),
    [
        ((), False),
        ((send,), False),
        ((close,), True),
        ((send, close), True),
        ((send, send, close_sending_side), True),
        ((reset,), True),
        ((send, reset), True),
    ],
)
async def test_end_shows_before_it_is_read(
    steps: tuple[Callable[[socket.socket], None], ...], has_left: bool
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        own, _ = listener.accept()
    own.setblocking(False)
    transport, _ = await asyncio.get_running_loop().create_connection(
        asyncio.Protocol, sock=own
    )
    try:
        for step in steps:
            step(peer)
        assert _peer_presence.has_left(transport) is has_left
    finally:
        transport.abort()
        peer.close()


async def test_closed_transport_has_no_peer() -> None:
    assert _peer_presence.has_left(None)
