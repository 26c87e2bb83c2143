"""Services and engines in trouble, whose responses never end."""

import asyncio

import aiohttp
import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import placement
from lagooncrank.core import retry
from lagooncrank.core import timeouts
from lagooncrank.server import _at_most_once_client
from lagooncrank.server import _attempts
from lagooncrank.server import _engine_stream
from lagooncrank.server import _orders
from lagooncrank.server import _plain_client
from lagooncrank.server import _pools
from lagooncrank.server.tests import endless_server

#: Much longer than any step takes, so that only a fault exceeds it.
TIMEOUT_MS = 30_000
FIRST_BYTE = timeouts.TimeoutBounds(TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS)
REQUEST = _plain_client.PlainRequest("GET", "/x", (), b"")
RESPONSES = {
    "spaces_before_a_value": endless_server.HEADS["spaces_before_a_value"],
    "chunk_extension": endless_server.FRAMING["chunk_extension"],
    "no_chunk_size": endless_server.FRAMING["no_chunk_size"],
    "length_too_large": endless_server.BODIES["length_too_large"],
    "chunks": endless_server.BODIES["chunks"],
}
FAILURES = {
    retry.FailureKind.PROTOCOL_ERROR,
    retry.FailureKind.CONNECTION_LOST,
}


# Guards against responses without end that hold a call to its timeout.
@pytest.mark.parametrize("sort", RESPONSES)
async def test_endless_response_to_a_repeatable_call_fails(sort: str) -> None:
    pools = _pools.ConnectionPools(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    client = _plain_client.PlainClient(pools)
    async with endless_server.running(RESPONSES[sort]) as server:
        with pytest.raises(_attempts.AttemptFailedError) as caught:
            await client.call(server.address, REQUEST, TIMEOUT_MS)
        await pools.on_stop()
        await server.wait_for_ends()
    assert caught.value.failure.kind in FAILURES
    assert (server.given_up, caught.value.failure.bytes_written) == (0, True)


# Guards against responses without end to calls that must not be repeated.
@pytest.mark.parametrize("sort", RESPONSES)
async def test_endless_response_to_a_call_that_runs_once_fails(
    sort: str,
) -> None:
    client = _at_most_once_client.AtMostOnceClient(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    async with endless_server.running(RESPONSES[sort]) as server:
        with pytest.raises(_attempts.AttemptFailedError) as caught:
            await client.send(server.address, REQUEST, TIMEOUT_MS, lambda: None)
        await server.wait_for_ends()
    assert caught.value.failure.kind in FAILURES
    assert (server.given_up, caught.value.failure.bytes_written) == (0, True)


# Guards against replies without end that fill the memory of a leader.
@pytest.mark.parametrize("sort", RESPONSES)
async def test_endless_reply_to_an_order_is_no_reply(sort: str) -> None:
    order = placement.Order(
        order_id="i1/1/1/load/0",
        kind=placement.OrderKind.LOAD,
        replica_id=model.ReplicaId("r"),
        service=model.ServiceName("drafts"),
        version="v1",
        fencing_number=1,
        weight_bytes=10,
    )
    sender = _orders.HttpOrderSender()
    await sender.open()
    async with endless_server.running(RESPONSES[sort]) as server:
        outgoing = placement.OutgoingOrder(
            model.InstanceId("i1"), server.address, order
        )
        result = await sender.send(outgoing, lambda: True)
        await server.wait_for_ends()
    await sender.close()
    assert result.state is placement.OrderState.UNANSWERED
    assert server.given_up == 0


def new_stream() -> _engine_stream.EngineStream:
    clock = clocks.SystemClock()
    return _engine_stream.EngineStream(
        timeouts.AdaptiveTimeout(FIRST_BYTE),
        timeouts.AdaptiveTimeout(FIRST_BYTE),
        clock,
        observed_time.ObservedClock(clock),
    )


async def read_events(
    stream: _engine_stream.EngineStream,
    session: aiohttp.ClientSession,
    address: str,
) -> None:
    async with asyncio.timeout(TIMEOUT_MS / clocks.MS_PER_S):
        await stream.open(session, f"http://{address}/v1/generate", b"{}")
        while await stream.read():
            pass


# Guards against refusals and events without end of an engine.
@pytest.mark.parametrize("status", [b"200 OK", b"503 Full"])
@pytest.mark.parametrize("sort", RESPONSES)
async def test_endless_response_of_an_engine_fails(
    sort: str, status: bytes
) -> None:
    content = RESPONSES[sort]
    start = content.start.replace(b"200 OK", status)
    endless = endless_server.EndlessBytes(start, content.unit)
    stream = new_stream()
    async with (
        endless_server.running(endless) as server,
        _pools.open_session(
            observed_time.ObservedClock(clocks.SystemClock()), force_close=True
        ) as session,
    ):
        with pytest.raises(_attempts.AttemptFailedError) as caught:
            await read_events(stream, session, server.address)
        stream.close()
        await server.wait_for_ends()
    assert caught.value.failure.kind in FAILURES
    assert server.given_up == 0


# Guards against a response that goes on and on after its last event.
async def test_end_of_a_stream_is_not_awaited_without_end() -> None:
    stream = new_stream()
    async with (
        endless_server.running(RESPONSES["length_too_large"]) as server,
        _pools.open_session(
            observed_time.ObservedClock(clocks.SystemClock()), force_close=True
        ) as session,
    ):
        url = f"http://{server.address}/v1/generate"
        await stream.open(session, url, b"{}")
        await stream.drain()
        await server.wait_for_ends()
    assert server.given_up == 0
