"""Clients of plain services return complete responses only."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import time
from typing import Any

import pytest

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.core import retry
from lagooncrank.server import _at_most_once_client
from lagooncrank.server import _attempts
from lagooncrank.server import _plain_client
from lagooncrank.server import _pools
from lagooncrank.server import _sockets
from lagooncrank.server.tests import raw_server

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
REQUEST = _plain_client.PlainRequest("POST", "/", (), b"")
TIMEOUT_MS = 30_000

Call = Callable[[str], Awaitable[_plain_client.PlainResponse]]


async def call_repeatable(address: str) -> _plain_client.PlainResponse:
    pools = _pools.ConnectionPools(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    try:
        client = _plain_client.PlainClient(pools)
        return await client.call(address, REQUEST, TIMEOUT_MS)
    finally:
        await pools.on_stop()


async def call_once(address: str) -> _plain_client.PlainResponse:
    client = _at_most_once_client.AtMostOnceClient(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    return await client.send(address, REQUEST, TIMEOUT_MS, lambda: None)


@pytest.mark.parametrize("call", [call_repeatable, call_once])
@pytest.mark.parametrize("parts", [[HEAD, b"part"], [HEAD + b"part"], [HEAD]])
async def test_response_whose_connection_is_reset_is_not_returned(
    call: Call, parts: list[bytes]
) -> None:
    """The part of a body before a reset was returned as a success."""
    server = raw_server.RawServer(parts, resets=True)
    async with server.running() as address:
        with pytest.raises(_attempts.AttemptFailedError) as caught:
            await call(address)
    failure = caught.value.failure
    assert failure.kind is retry.FailureKind.CONNECTION_LOST
    assert failure.bytes_written
    assert server.requests == 1


# Guards against a connection that was given up for this process's standstill.
@pytest.mark.parametrize("call", [call_repeatable, call_once])
async def test_connection_outlasts_a_standstill(
    call: Call, monkeypatch: pytest.MonkeyPatch
) -> None:
    held_s = (_pools.CONNECT_TIMEOUT_MS + 100) / clocks.MS_PER_S
    new_socket = _sockets.client_socket

    def hold_up(address_info: tuple[Any, ...]) -> socket.socket:
        asyncio.get_running_loop().call_soon(time.sleep, held_s)
        return new_socket(address_info)

    monkeypatch.setattr(_sockets, "client_socket", hold_up)
    server = raw_server.RawServer([HEAD, b"whole"], resets=False)
    async with server.running() as address:
        response = await call(address)
    assert (response.status, response.body) == (200, b"whole")


@pytest.mark.parametrize("call", [call_repeatable, call_once])
async def test_response_whose_connection_closes_is_returned(call: Call) -> None:
    server = raw_server.RawServer([HEAD, b"whole"], resets=False)
    async with server.running() as address:
        response = await call(address)
    assert (response.status, response.body) == (200, b"whole")
