"""Waits for responses expire early when their server is stalled."""

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
        return "expired"
    return "completed"


async def test_waits_at_a_stalled_server_expire() -> None:
    waits = _response_waits.ResponseWaits()
    expired = asyncio.create_task(wait_for(waits, 1, LONG_S))
    unaffected = asyncio.create_task(wait_for(waits, 2, LONG_S))
    await asyncio.sleep(0)
    waits.expire([SERVER, "s2"], lambda _, e: e.number == 1)
    assert await expired == "expired"
    assert not unaffected.done()
    unaffected.cancel()


async def test_expired_wait_is_not_rescheduled() -> None:
    """A timed-out wait is not rescheduled, which would raise an error.

    After a pause of the process, a stall may be reported before the waiting
    task has run.
    """
    waits = _response_waits.ResponseWaits()
    loop = asyncio.get_running_loop()
    waiter = asyncio.create_task(wait_for(waits, 1, LONG_S))
    await asyncio.sleep(0)
    problems: list[BaseException] = []

    def time_out_then_expire() -> None:
        _, timeout = waits._by_server[SERVER][1]
        timeout._on_timeout()  # type: ignore[attr-defined]
        try:
            waits.expire([SERVER], lambda *_: True)
        except RuntimeError as error:
            problems.append(error)

    loop.call_soon(time_out_then_expire)
    assert await waiter == "expired"
    assert not problems


@pytest.mark.parametrize("server_ids", [[], ["unknown"]])
async def test_servers_without_waits_are_ignored(
    server_ids: list[str],
) -> None:
    _response_waits.ResponseWaits().expire(server_ids, lambda *_: True)
