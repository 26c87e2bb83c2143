"""Requests that wait while all groups of their model are full."""

import asyncio
import types
from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _slot_queue

LONG_MS = 3_600_000
SHORT_MS = 20


class Site:
    """Groups with a number of places, and the turns of one entry."""

    def __init__(self, places: int | None, entries: int = 6) -> None:
        self.places = places
        self.view = types.SimpleNamespace(entry_count=entries)
        self.turns = _slot_queue.SlotQueue(
            cast(
                Any, types.SimpleNamespace(slot_budget=lambda *_: self._room())
            ),
            cast(Any, self.view),
            _entry_metrics.EntryMetrics(),
            clocks.ManualClock(),
        )

    def _room(self) -> dispatch.SlotBudget | None:
        return (
            None if self.places is None else dispatch.SlotBudget(self.places, 0)
        )

    async def send(self, request: Any) -> None:
        """Waits for a turn and takes a place."""
        await self.turns.wait(request)
        if self.places is not None:
            self.places -= 1
        self.turns.begin(request)

    def end(self, request: Any) -> None:
        """Gives the place of a request back."""
        if self.places is not None:
            self.places += 1
        self.turns.end(request)


def request(
    number: int, remaining_ms: int = LONG_MS, model: str = "large"
) -> Any:
    return types.SimpleNamespace(
        number=number,
        request_head=types.SimpleNamespace(model_name=model),
        service="writers",
        account=None,
        priority=1,
        arrived_ms=0,
        route=types.SimpleNamespace(target_latency_ms=300),
        remaining_ms=lambda _: remaining_ms,
        queued_ms=0,
    )


async def turn_of_loop() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def site_where_two_wait() -> tuple[Site, Any, list[asyncio.Task[None]]]:
    """Returns a site, the request at its one place, and two that wait."""
    site = Site(places=1)
    first, second, third = (request(n) for n in range(3))
    await site.send(first)
    waiting = [asyncio.create_task(site.send(r)) for r in (second, third)]
    await turn_of_loop()
    return site, first, waiting


async def test_next_request_goes_when_one_ends() -> None:
    site, first, waiting = await site_where_two_wait()
    assert not any(t.done() for t in waiting)
    site.end(first)
    await turn_of_loop()
    assert [t.done() for t in waiting] == [True, False]
    site.end(request(1))
    await turn_of_loop()
    assert waiting[1].done()


async def test_caller_that_leaves_passes_its_turn_on() -> None:
    site, first, waiting = await site_where_two_wait()
    waiting[0].cancel()
    await turn_of_loop()
    site.end(first)
    await turn_of_loop()
    assert waiting[1].done()
    assert not waiting[1].cancelled()


async def test_place_that_comes_free_as_a_caller_leaves_is_no_problem() -> None:
    site, first, waiting = await site_where_two_wait()
    waiting[0].cancel()
    site.end(first)
    await asyncio.sleep(2 * _slot_queue.RECHECK_INTERVAL_S)
    assert waiting[1].done()
    assert not waiting[1].cancelled()
    assert not site.turns._granted
    assert not site.turns._queue.pools()


async def test_request_is_told_before_its_time_is_over() -> None:
    site = Site(places=0)
    with pytest.raises(_slot_queue.QueueTimeoutError):
        await site.turns.wait(request(1, remaining_ms=SHORT_MS))


@pytest.mark.parametrize(
    ("places", "entries", "model"),
    [
        pytest.param(None, 6, "large", id="no-group-serves-the-model"),
        pytest.param(0, 86, "large", id="loads-are-known-too-late"),
        pytest.param(0, 6, "", id="plain-server"),
    ],
)
async def test_request_that_nothing_is_known_for_does_not_wait(
    places: int | None, entries: int, model: str
) -> None:
    await Site(places, entries).turns.wait(request(1, model=model))


async def test_groups_that_are_lost_end_the_waits() -> None:
    """Those who wait are refused at once, not at the end of their time."""
    site = Site(places=0)
    waiting = asyncio.create_task(site.turns.wait(request(1)))
    await turn_of_loop()
    site.places = None
    site.turns.begin(request(2))
    site.turns.end(request(2))
    await turn_of_loop()
    assert waiting.done()
