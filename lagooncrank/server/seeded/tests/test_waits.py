"""Waits that are ended because their server stands still."""

import asyncio
import types
from typing import cast

import pytest

from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _response_waits

SERVER = "s1"
LONG_S = 3_600.0


def exchange(number: int) -> _exchange.Exchange:
    return cast(_exchange.Exchange, types.SimpleNamespace(number=number))


async def wait_for(
    waits: _response_waits.ResponseWaits, number: int, limit_s: float
) -> str:
    try:
        async with asyncio.timeout(limit_s) as timeout:
            with waits.register(SERVER, exchange(number), timeout):
                await asyncio.Event().wait()
    except TimeoutError:
        return "ended"
    return "answered"


async def test_waits_at_a_server_that_stands_still_end() -> None:
    waits = _response_waits.ResponseWaits()
    ended = asyncio.create_task(wait_for(waits, 1, LONG_S))
    kept = asyncio.create_task(wait_for(waits, 2, LONG_S))
    await asyncio.sleep(0)
    waits.expire([SERVER, "s2"], lambda _, e: e.number == 1)
    assert await ended == "ended"
    assert not kept.done()
    kept.cancel()


async def test_wait_that_has_expired_is_left_alone() -> None:
    """After a freeze, word of a stalled server comes before its waiter runs."""
    waits = _response_waits.ResponseWaits()
    loop = asyncio.get_running_loop()
    waiter = asyncio.create_task(wait_for(waits, 1, LONG_S))
    await asyncio.sleep(0)
    problems: list[BaseException] = []

    def expire_and_end() -> None:
        _, timeout = waits._by_server[SERVER][1]
        timeout._on_timeout()  # type: ignore[attr-defined]
        try:
            waits.expire([SERVER], lambda *_: True)
        except RuntimeError as error:
            problems.append(error)

    loop.call_soon(expire_and_end)
    assert await waiter == "ended"
    assert not problems


@pytest.mark.parametrize("server_ids", [[], ["unknown"]])
async def test_servers_without_waits_are_no_problem(
    server_ids: list[str],
) -> None:
    _response_waits.ResponseWaits().expire(server_ids, lambda *_: True)
