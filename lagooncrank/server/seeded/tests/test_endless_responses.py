"""Responses of backend servers that never end by themselves."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.server import _bounded_http
from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _body_reader
from lagooncrank.server.seeded.tests import plain_codec
from lagooncrank.server.tests import endless_server

#: Much longer than any step takes, so that only a fault exceeds it.
READ_TIMEOUT_S = 30.0
REQUEST = _adapter.RequestHead("a1", "GET", "/x", "h.example")


@pytest.fixture
async def client() -> AsyncIterator[_attempt.BackendClient]:
    running = _attempt.BackendClient(
        plain_codec.PlainCodec(),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await running.start()
    yield running
    await running.stop()


async def open_response(
    client: _attempt.BackendClient, server: endless_server.EndlessServer
) -> _attempt.BackendResponse:
    server_id = model.BackendServerId("s")
    target = dispatch.Target(
        server_id,
        server.address,
        model.ServiceName("desk"),
        model.FailureDomainId("a"),
        4,
        "",
    )
    metadata = _adapter.ForwardingMetadata(server_id, 5_000)
    return await client.open(target, REQUEST, metadata, b"")


async def read_response(
    client: _attempt.BackendClient, server: endless_server.EndlessServer
) -> None:
    response = await open_response(client, server)
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            async for _ in response.body():
                pass
    finally:
        response.close()


# Guards against a head without end that is read until the request's deadline.
@pytest.mark.parametrize("sort", endless_server.HEADS)
async def test_head_without_end_is_closed(
    client: _attempt.BackendClient, sort: str
) -> None:
    content = endless_server.HEADS[sort]
    async with endless_server.running(content) as server:
        with pytest.raises(_attempt.AttemptFailedError) as caught:
            await open_response(client, server)
        await server.wait_for_ends()
    assert (server.given_up, caught.value.may_have_run) == (0, True)
    is_http = sort != "no_http"
    assert (caught.value.failure is _attempt.FailureKind.TOO_LARGE) == is_http


# Guards against a server's bytes that fill log lines and refusals.
async def test_error_quotes_only_the_start_of_faulty_bytes(
    client: _attempt.BackendClient,
) -> None:
    content = endless_server.HEADS["no_http"]
    async with endless_server.running(content) as server:
        with pytest.raises(_attempt.AttemptFailedError) as caught:
            await open_response(client, server)
    assert len(caught.value.detail) <= 300
    assert len(str(caught.value)) <= 400


# Guards against interim responses that take a turn of tens of milliseconds.
async def test_few_interim_responses_are_accepted(
    client: _attempt.BackendClient,
) -> None:
    interim = endless_server.HEADS["interim_responses"].unit
    content = endless_server.EndlessBytes(
        interim * _bounded_http.MAX_INTERIM_RESPONSES + endless_server.EMPTY,
        interim,
    )
    async with endless_server.running(content) as server:
        response = await open_response(client, server)
        response.close()
    assert response.head.status == 200


# Guards against bytes that are no part of a body and so never pause its reader.
@pytest.mark.parametrize("sort", endless_server.FRAMING)
async def test_chunk_framing_without_end_is_closed(
    client: _attempt.BackendClient, sort: str
) -> None:
    content = endless_server.FRAMING[sort]
    async with endless_server.running(content) as server:
        with pytest.raises(_attempt.AttemptFailedError):
            await read_response(client, server)
        await server.wait_for_ends()
    assert server.given_up == 0


# Guards against bytes after a response that an idle connection gathers.
@pytest.mark.parametrize("sort", endless_server.TRAILING)
async def test_bytes_without_end_after_a_response_are_closed(
    client: _attempt.BackendClient, sort: str
) -> None:
    content = endless_server.TRAILING[sort]
    async with endless_server.running(content) as server:
        await read_response(client, server)
        await server.wait_for_ends()
    assert server.given_up == 0


# Guards against a body without end that fills the memory until the deadline.
@pytest.mark.parametrize("sort", endless_server.BODIES)
async def test_body_without_end_is_closed(
    client: _attempt.BackendClient, sort: str
) -> None:
    buffers = _buffer_budget.BufferBudget.of_memory(200)
    content = endless_server.BODIES[sort]
    async with endless_server.running(content) as server:
        response = await open_response(client, server)
        with (
            buffers.open() as buffer,
            pytest.raises(_attempt.AttemptFailedError) as caught,
        ):
            await _body_reader.read(response, buffer)
        response.close()
        await server.wait_for_ends()
    assert server.given_up == 0
    assert caught.value.failure is _attempt.FailureKind.TOO_LARGE
    assert buffers.used_bytes == 0


# Guards against several bodies without end that exceed the memory together.
async def test_bodies_without_end_share_one_limit(
    client: _attempt.BackendClient,
) -> None:
    buffers = _buffer_budget.BufferBudget(max_bytes=1_048_576)
    content = endless_server.BODIES["chunks"]

    async def read(server: endless_server.EndlessServer) -> None:
        response = await open_response(client, server)
        with (
            buffers.open() as buffer,
            pytest.raises(_attempt.AttemptFailedError, match="all bodies"),
        ):
            await _body_reader.read(response, buffer)
        response.close()

    async with endless_server.running(content) as server:
        await asyncio.gather(*(read(server) for _ in range(20)))
        await server.wait_for_ends()
    assert (server.given_up, buffers.used_bytes) == (0, 0)


# Guards against bytes without pause that leave no turn to other requests.
async def test_other_tasks_run_between_bytes_that_wait_already(
    client: _attempt.BackendClient,
) -> None:
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    content = endless_server.BODIES["length_too_large"]
    async with endless_server.running(content) as server:
        response = await open_response(client, server)
        other = asyncio.create_task(count_turns())
        read_bytes = 0
        async for chunk in response.body():
            read_bytes += len(chunk)
            if read_bytes >= 100 * _bounded_http.TURN_BYTES:
                break
        other.cancel()
        response.close()
    assert turns >= 100


# Guards against a body that nobody reads and that fills the memory.
@pytest.mark.parametrize("sort", endless_server.BODIES)
async def test_body_that_is_not_read_is_not_received(
    client: _attempt.BackendClient, sort: str
) -> None:
    content = endless_server.BODIES[sort]
    async with endless_server.running(content) as server:
        response = await open_response(client, server)
        for _ in range(100):
            await asyncio.sleep(endless_server.START_INTERVAL_S / 20)
        response.close()
        await server.wait_for_ends()
    assert server.given_up == 0
