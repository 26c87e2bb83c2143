"""One open connection to a peer."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from typing import Final
from typing import TypeVar

import cbor2
import msgspec
import websockets
from websockets.asyncio import connection as ws_connection

from lagooncrank import clock
from lagooncrank import model
from lagooncrank.server.links import _handshake

HANDSHAKE_TIMEOUT_S: Final = 2.0
#: Frame that keeps an idle link alive.
HEARTBEAT: Final = b""
#: Bytes queued for a peer that reads slowly before messages are dropped; one
#: larger message is taken when nothing else waits.
MAX_QUEUED_BYTES: Final = 16_777_216
#: Longest message put together from its parts.
MAX_MESSAGE_BYTES: Final = 268_435_456
#: Longest part of a message, sent as one frame.
PART_BYTES: Final = 1_048_576
#: Longest frame: a part with its tag and mark.
MAX_FRAME_BYTES: Final = PART_BYTES + 1_024
#: First byte of a frame: more parts follow, or the message is whole.
_MORE: Final = b"\x00"
_LAST: Final = b"\x01"

T = TypeVar("T")


class Channel:
    """Sends and receives frames; knows when the peer was last heard."""

    def __init__(
        self,
        connection: ws_connection.Connection,
        peer: model.NodeId,
        session: _handshake.Session,
        clock_: clock.Clock,
    ) -> None:
        self.peer = peer
        self.heard_ms = clock_.now_ms()
        self.sent_ms = clock_.now_ms()
        self._connection = connection
        self._session = session
        self._clock = clock_
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()

    @classmethod
    async def dial(
        cls,
        connection: ws_connection.Connection,
        own: model.NodeId,
        peer: model.NodeId,
        key: bytes,
        clock_: clock.Clock,
    ) -> "Channel":
        """Authenticates a connection that this node opened.

        Raises:
            HandshakeError: The other side is not `peer` or lacks the key.
        """
        mine = _handshake.Hello.of(own)
        await connection.send(model.to_cbor(mine))
        theirs = await _receive(connection, peer, _handshake.Hello)
        if theirs.node_id != peer:
            raise _handshake.HandshakeError(peer, f"it is {theirs.node_id!r}")
        session = _handshake.Session(key, mine, theirs, is_dialer=True)
        await connection.send(model.to_cbor(session.proof()))
        session.check(await _receive(connection, peer, _handshake.Proof))
        return cls(connection, peer, session, clock_)

    @classmethod
    async def accept(
        cls,
        connection: ws_connection.Connection,
        own: model.NodeId,
        known: frozenset[model.NodeId] | None,
        key: bytes,
        clock_: clock.Clock,
    ) -> "Channel":
        """Authenticates a connection that a peer opened.

        Args:
            connection: The accepted connection.
            own: This node.
            known: Nodes that may connect; None lets every node that holds
                the key.
            key: Key shared by all nodes.
            clock_: Clock of the process.

        Raises:
            HandshakeError: The other side is unknown or lacks the key.
        """
        theirs = await _receive(connection, "", _handshake.Hello)
        peer = theirs.node_id
        is_known = known is None or peer in known
        if not is_known or theirs.protocol != _handshake.PROTOCOL:
            raise _handshake.HandshakeError(peer, "unknown node or version")
        mine = _handshake.Hello.of(own)
        await connection.send(model.to_cbor(mine))
        session = _handshake.Session(key, theirs, mine, is_dialer=False)
        session.check(await _receive(connection, peer, _handshake.Proof))
        await connection.send(model.to_cbor(session.proof()))
        return cls(connection, peer, session, clock_)

    def send(self, payload: bytes) -> bool:
        """Queues a payload.

        Returns:
            False when the peer reads too slowly and the payload was dropped.
        """
        is_full = self._queued_bytes + len(payload) > MAX_QUEUED_BYTES
        if len(payload) > MAX_MESSAGE_BYTES or (self._queue and is_full):
            return False
        for part in _parts(payload):
            self._queue.append(part)
            self._queued_bytes += len(part)
        self.sent_ms = self._clock.now_ms()
        self._wake.set()
        return True

    async def run(self, receive: Callable[[bytes], Awaitable[None]]) -> None:
        """Carries messages until the connection closes.

        Raises:
            HandshakeError: A frame is not authentic.
        """
        writer = asyncio.ensure_future(self._write())
        try:
            await self._read(receive)
        finally:
            writer.cancel()
            self.abort()
            await asyncio.wait([writer])

    def abort(self) -> None:
        """Closes at once, without waiting for a silent peer."""
        self._connection.transport.abort()

    async def _read(self, receive: Callable[[bytes], Awaitable[None]]) -> None:
        message = bytearray()
        try:
            while True:
                frame = await self._connection.recv(decode=False)
                part = self._session.open(frame)
                self.heard_ms = self._clock.now_ms()
                message += part[1:]
                if len(message) > MAX_MESSAGE_BYTES:
                    raise _handshake.HandshakeError(
                        self.peer, "a message is too long"
                    )
                if part[:1] == _LAST:
                    payload = bytes(message)
                    message.clear()
                    if payload != HEARTBEAT:
                        await receive(payload)
        except websockets.ConnectionClosed:
            return

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._queue:
                    payload = self._queue.popleft()
                    self._queued_bytes -= len(payload)
                    await self._connection.send(self._session.seal(payload))
        except websockets.ConnectionClosed:
            return


def _parts(payload: bytes) -> Iterator[bytes]:
    """Yields a message as marked parts; an empty one is one part."""
    last = max(0, len(payload) - 1) // PART_BYTES
    for number in range(last + 1):
        mark = _LAST if number == last else _MORE
        start = number * PART_BYTES
        yield mark + payload[start : start + PART_BYTES]


async def _receive(
    connection: ws_connection.Connection, peer: str, kind: type[T]
) -> T:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            data = await connection.recv(decode=False)
        return model.from_cbor(data, kind)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise _handshake.HandshakeError(peer, str(error)) from error
    except (TimeoutError, websockets.ConnectionClosed) as error:
        raise _handshake.HandshakeError(peer, "it went away") from error
