"""An error of one link closes that link, and never ends the process."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket

import cbor2
import hypothesis
from hypothesis import strategies
import pytest
from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server as ws_server

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.server.links import _channel
from lagooncrank.server.links import _handshake
from lagooncrank.server.links import _links

NODE = model.NodeId("a")
PEER = model.NodeId("b")
#: More than the socket buffers of both ends hold.
UNREAD_BYTES = 32 * 1_048_576


@contextlib.asynccontextmanager
async def connected_pair() -> AsyncIterator[
    tuple[ws_connection.Connection, ws_connection.Connection]
]:
    """Yields both ends of one WebSocket connection."""
    accepted: asyncio.Future[ws_connection.Connection] = (
        asyncio.get_running_loop().create_future()
    )

    async def handle(connection: ws_server.ServerConnection) -> None:
        accepted.set_result(connection)
        await connection.wait_closed()

    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    async with ws_server.serve(
        handle, sock=listener, compression=None, max_size=None
    ):
        connection = await ws_client.connect(
            f"ws://127.0.0.1:{port}/",
            compression=None,
            max_size=None,
            ping_interval=None,
            proxy=None,
        )
        remote = await accepted
        yield connection, remote
        for end in (connection, remote):
            if not end.connection_lost_waiter.done():
                end.transport.abort()


def channel_over(connection: ws_connection.Connection) -> _channel.Channel:
    hello = _handshake.Hello.of(NODE)
    session = _handshake.Session(b"k", hello, hello, is_dialer=True)
    manual_clock = clock.ManualClock()
    return _channel.Channel(
        connection,
        PEER,
        session,
        manual_clock,
        observed_time.ObservedClock(manual_clock),
    )


async def test_abort_after_the_transport_closed_with_unwritten_bytes() -> None:
    async with connected_pair() as (connection, remote):
        channel = channel_over(connection)
        connection.transport.write(b"\x82\x7f")
        connection.transport.write(UNREAD_BYTES.to_bytes(8, "big"))
        connection.transport.write(bytes(UNREAD_BYTES))
        assert connection.transport.get_write_buffer_size() > 0
        connection.transport.close()
        remote.transport.abort()
        await asyncio.wait_for(
            asyncio.shield(connection.connection_lost_waiter), 5.0
        )
        channel.abort()


async def test_abort_after_the_unwritten_bytes_were_sent() -> None:
    async with connected_pair() as (connection, _):
        channel = channel_over(connection)
        connection.transport.write(bytes(UNREAD_BYTES))
        assert connection.transport.get_write_buffer_size() > 0
        connection.transport.close()
        # The remote end reads on, so that the buffer empties.
        await asyncio.wait_for(
            asyncio.shield(connection.connection_lost_waiter), 5.0
        )
        channel.abort()
        channel.abort()


# Guards against a peer that is dialled again later because this node stood
# still while it answered.
async def test_handshake_outlasts_a_standstill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeout_ms = 20
    monkeypatch.setattr(_channel, "HANDSHAKE_TIMEOUT_MS", timeout_ms)
    manual_clock = clock.ManualClock()
    observed_clock = observed_time.ObservedClock(manual_clock)
    clocks = (manual_clock, observed_clock)
    async with connected_pair() as (connection, remote):
        dialling = asyncio.create_task(
            _channel.Channel.dial(connection, NODE, PEER, b"k", *clocks)
        )
        # No observed time passes.
        await asyncio.sleep(5 * timeout_ms / clock.MS_PER_S)
        await _channel.Channel.accept(remote, PEER, None, b"k", *clocks)
        assert (await dialling).peer == PEER


async def test_handshake_that_is_not_answered_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_channel, "HANDSHAKE_TIMEOUT_MS", 20)
    manual_clock = clock.ManualClock()
    observed_clock = observed_time.ObservedClock(manual_clock)
    async with connected_pair() as (connection, _):
        asyncio.get_running_loop().call_soon(manual_clock.advance, 20)
        with pytest.raises(_handshake.HandshakeError, match="timed out"):
            await _channel.Channel.dial(
                connection, NODE, PEER, b"k", manual_clock, observed_clock
            )


async def test_unexpected_error_of_a_link_does_not_end_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    dialled = asyncio.Event()

    def fail(*_: object, **__: object) -> None:
        dialled.set()
        raise AttributeError("unexpected")

    monkeypatch.setattr(ws_client, "connect", fail)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    host, port = listener.getsockname()
    service = _links.Links(
        NODE,
        {NODE: f"{host}:{port}", PEER: "127.0.0.1:1"},
        b"k",
        clock.ManualClock(),
        listener=listener,
    )
    async with service:
        await asyncio.wait_for(dialled.wait(), 5.0)
        await asyncio.sleep(0)
        assert not service.crashed


@pytest.mark.parametrize(
    "payload",
    [
        b"\xff",
        b"",
        cbor2.dumps(7),
        cbor2.dumps(["kind"]),
        cbor2.dumps([7, {}]),
        cbor2.dumps([["kind"], {}]),
    ],
)
def test_malformed_message_ends_its_link(payload: bytes) -> None:
    with pytest.raises(_handshake.HandshakeError):
        _links._decode(PEER, payload)


@hypothesis.settings(max_examples=1_000, derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=64))
def test_any_bytes_are_decoded_or_end_their_link(payload: bytes) -> None:
    with contextlib.suppress(_handshake.HandshakeError):
        kind, _ = _links._decode(PEER, payload)
        assert isinstance(kind, str)
