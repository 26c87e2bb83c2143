"""An authenticated message channel over one connection to a peer."""

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
from lagooncrank import observed_time
from lagooncrank.server import _observed_timer
from lagooncrank.server.links import _handshake

#: Observed time for each step of a handshake.
HANDSHAKE_TIMEOUT_MS: Final = 2_000
#: Empty message that keeps an idle link alive.
HEARTBEAT: Final = b""
#: Limit of the bytes queued for a slow peer; further messages are dropped. A
#: larger message is still accepted when the queue is empty.
MAX_QUEUED_BYTES: Final = 16_777_216
#: Size limit of a message that is reassembled from its parts.
MAX_MESSAGE_BYTES: Final = 268_435_456
#: Size limit of one part of a message; each part is sent as one frame.
MAX_PART_BYTES: Final = 1_048_576
#: Size limit of a frame: a part with its authentication tag and marker.
MAX_FRAME_BYTES: Final = MAX_PART_BYTES + 1_024
#: Marker before each part: more parts follow, or this is the last one.
_MORE_PARTS: Final = b"\x00"
_LAST_PART: Final = b"\x01"

T = TypeVar("T")


class Channel:
    """Sends and receives messages over one authenticated connection."""

    def __init__(
        self,
        connection: ws_connection.Connection,
        peer: model.NodeId,
        session: _handshake.Session,
        clock_: clock.Clock,
        observed_clock: observed_time.ObservedClock,
    ) -> None:
        self.peer = peer
        #: When the newest frame was received, in observed time.
        self.last_received_ms = observed_clock.now_ms()
        #: When the newest message was queued.
        self.last_sent_ms = clock_.now_ms()
        self._connection = connection
        self._session = session
        self._clock = clock_
        self._observed_clock = observed_clock
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()

    @classmethod
    async def dial(
        cls,
        connection: ws_connection.Connection,
        node_id: model.NodeId,
        peer: model.NodeId,
        key: bytes,
        clock_: clock.Clock,
        observed_clock: observed_time.ObservedClock,
    ) -> "Channel":
        """Authenticates a connection that this node opened.

        Raises:
            HandshakeError: The remote node is not `peer`, does not hold the
                shared key, or did not complete the handshake.
        """
        own_hello = _handshake.Hello.of(node_id)
        await connection.send(model.to_cbor(own_hello))
        peer_hello = await _receive(
            connection, peer, _handshake.Hello, observed_clock
        )
        if peer_hello.node_id != peer:
            raise _handshake.HandshakeError(
                peer, f"it identifies itself as {peer_hello.node_id!r}"
            )
        session = _handshake.Session(key, own_hello, peer_hello, is_dialer=True)
        await connection.send(model.to_cbor(session.proof()))
        session.check_proof(
            await _receive(connection, peer, _handshake.Proof, observed_clock)
        )
        return cls(connection, peer, session, clock_, observed_clock)

    @classmethod
    async def accept(
        cls,
        connection: ws_connection.Connection,
        node_id: model.NodeId,
        allowed_peers: frozenset[model.NodeId] | None,
        key: bytes,
        clock_: clock.Clock,
        observed_clock: observed_time.ObservedClock,
    ) -> "Channel":
        """Authenticates a connection that a peer opened.

        Args:
            connection: The accepted connection.
            node_id: This node.
            allowed_peers: Nodes that may connect; None allows every node
                that holds the key.
            key: Key that all nodes share.
            clock_: Clock of the process.
            observed_clock: Observed time of the process.

        Raises:
            HandshakeError: The remote node is not allowed, has another
                protocol version, does not hold the shared key, or did not
                complete the handshake.
        """
        peer_hello = await _receive(
            connection, "", _handshake.Hello, observed_clock
        )
        peer = peer_hello.node_id
        is_allowed = allowed_peers is None or peer in allowed_peers
        if not is_allowed or peer_hello.protocol != _handshake.PROTOCOL:
            raise _handshake.HandshakeError(
                peer, "unknown node or protocol version"
            )
        own_hello = _handshake.Hello.of(node_id)
        await connection.send(model.to_cbor(own_hello))
        session = _handshake.Session(
            key, peer_hello, own_hello, is_dialer=False
        )
        session.check_proof(
            await _receive(connection, peer, _handshake.Proof, observed_clock)
        )
        await connection.send(model.to_cbor(session.proof()))
        return cls(connection, peer, session, clock_, observed_clock)

    def send(self, payload: bytes) -> bool:
        """Queues a message.

        Returns:
            False if the message was dropped because it is too long or the
            queue is full.
        """
        is_full = self._queued_bytes + len(payload) > MAX_QUEUED_BYTES
        if len(payload) > MAX_MESSAGE_BYTES or (self._queue and is_full):
            return False
        for part in _split(payload):
            self._queue.append(part)
            self._queued_bytes += len(part)
        self.last_sent_ms = self._clock.now_ms()
        self._wake.set()
        return True

    async def run(self, on_message: Callable[[bytes], Awaitable[None]]) -> None:
        """Sends and receives messages until the connection closes.

        Raises:
            HandshakeError: A received frame is not authentic, or a message
                is too long.
        """
        writer = asyncio.ensure_future(self._write())
        try:
            await self._read(on_message)
        finally:
            writer.cancel()
            self.abort()
            await asyncio.wait([writer])

    @property
    def is_dialer(self) -> bool:
        """Whether this node opened the connection."""
        return self._session.is_dialer

    @property
    def is_connected(self) -> bool:
        """Whether the connection is not known to be lost."""
        return not self._connection.connection_lost_waiter.done()

    def abort(self) -> None:
        """Closes the connection without waiting for an unresponsive peer."""
        # asyncio raises AttributeError if a transport is aborted after it was
        # closed with unwritten bytes and has lost its connection since.
        if self.is_connected:
            self._connection.transport.abort()

    async def _read(
        self, on_message: Callable[[bytes], Awaitable[None]]
    ) -> None:
        message = bytearray()
        try:
            while True:
                frame = await self._connection.recv(decode=False)
                part = self._session.open(frame)
                self.last_received_ms = self._observed_clock.now_ms()
                message += part[1:]
                if len(message) > MAX_MESSAGE_BYTES:
                    raise _handshake.HandshakeError(
                        self.peer,
                        "it sent a message over the size limit",
                    )
                if part[:1] == _LAST_PART:
                    payload = bytes(message)
                    message.clear()
                    if payload != HEARTBEAT:
                        await on_message(payload)
        except websockets.ConnectionClosed:
            return

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._queue:
                    part = self._queue.popleft()
                    self._queued_bytes -= len(part)
                    await self._connection.send(self._session.seal(part))
        except websockets.ConnectionClosed:
            return


def _split(payload: bytes) -> Iterator[bytes]:
    """Yields the parts of a message, each after its marker byte.

    An empty message has one part.
    """
    last_number = max(0, len(payload) - 1) // MAX_PART_BYTES
    for number in range(last_number + 1):
        marker = _LAST_PART if number == last_number else _MORE_PARTS
        start = number * MAX_PART_BYTES
        yield marker + payload[start : start + MAX_PART_BYTES]


async def _receive(
    connection: ws_connection.Connection,
    peer: str,
    message_type: type[T],
    observed_clock: observed_time.ObservedClock,
) -> T:
    try:
        async with _observed_timer.timeout(
            observed_clock, HANDSHAKE_TIMEOUT_MS
        ):
            data = await connection.recv(decode=False)
        return model.from_cbor(data, message_type)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise _handshake.HandshakeError(peer, str(error)) from error
    except (TimeoutError, websockets.ConnectionClosed) as error:
        raise _handshake.HandshakeError(
            peer, "the connection closed or timed out during the handshake"
        ) from error
