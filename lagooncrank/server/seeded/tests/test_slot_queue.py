"""Requests queue while all groups of their model are full."""

import asyncio
import types
from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model as lagoon_model
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _slot_queue

LONG_MS = 3_600_000
SHORT_MS = 20


class FakeGroups:
    """Groups with a number of free slots, and the slot queue of one entry."""

    def __init__(self, slots: int | None, entries: int = 6) -> None:
        self.slots = slots
        #: Time until a permit comes, if all groups limit their requests.
        self.permit_wait_ms: int | None = None
        self.view = types.SimpleNamespace(entry_count=entries)
        self.slot_queue = _slot_queue.SlotQueue(
            cast(
                Any,
                types.SimpleNamespace(
                    slot_budget=lambda *_: self._slot_budget(),
                    is_limited=lambda *_: self.permit_wait_ms is not None,
                    permit_wait_ms=lambda *_: self.permit_wait_ms,
                    request_permits=lambda *_: None,
                    has_slots=lambda _service, model: (
                        bool(model) and dispatch.has_accurate_loads(entries)
                    ),
                ),
            ),
            cast(Any, self.view),
            _entry_metrics.EntryMetrics(),
            clocks.ManualClock(),
        )

    def _slot_budget(self) -> dispatch.SlotBudget | None:
        return (
            None if self.slots is None else dispatch.SlotBudget(self.slots, 0)
        )

    async def send(self, request: Any) -> None:
        """Waits for a slot and acquires it."""
        await self.slot_queue.wait(request)
        if self.slots is not None:
            self.slots -= 1
        self.slot_queue.begin(request)

    def end(self, request: Any) -> None:
        """Releases the slot of a request."""
        if self.slots is not None:
            self.slots += 1
        self.slot_queue.end(request)


def request(
    number: int,
    remaining_ms: int = LONG_MS,
    model: str = "large",
    account: str = "",
) -> Any:
    return types.SimpleNamespace(
        number=number,
        request_head=types.SimpleNamespace(model_name=model),
        service="writers",
        account=types.SimpleNamespace(account=account) if account else None,
        priority=1,
        arrived_ms=0,
        route=types.SimpleNamespace(
            target_latency_ms=300,
            max_event_gap_ms=300,
            kind=lagoon_model.RequestKind.IDEMPOTENT,
        ),
        remaining_ms=lambda _: remaining_ms,
        queued_ms=0,
        tried=(),
    )


async def run_event_loop() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def groups_with_two_waiting() -> tuple[
    FakeGroups, Any, list[asyncio.Task[None]]
]:
    """Returns groups with one slot, the request in it, and two that wait."""
    groups = FakeGroups(slots=1)
    first, second, third = (request(n) for n in range(3))
    await groups.send(first)
    waiting = [asyncio.create_task(groups.send(r)) for r in (second, third)]
    await run_event_loop()
    return groups, first, waiting


async def test_next_request_is_sent_when_one_ends() -> None:
    groups, first, waiting = await groups_with_two_waiting()
    assert not any(t.done() for t in waiting)
    groups.end(first)
    await run_event_loop()
    assert [t.done() for t in waiting] == [True, False]
    groups.end(request(1))
    await run_event_loop()
    assert waiting[1].done()


# Guards against: a request waits for a permit that comes after its caller left.
async def test_request_whose_permit_comes_too_late_is_refused_at_once() -> None:
    groups = FakeGroups(slots=0)
    groups.permit_wait_ms = LONG_MS
    with pytest.raises(_slot_queue.QueueTimeoutError):
        await groups.send(request(1))
    assert groups.slot_queue._queue.pools() == ()


@pytest.mark.parametrize("model", ["large", ""])
async def test_requests_wait_for_permits_of_limited_servers(model: str) -> None:
    groups = FakeGroups(slots=0, entries=83)
    groups.permit_wait_ms = 0
    waiting = asyncio.create_task(groups.send(request(1, model=model)))
    await run_event_loop()
    assert not waiting.done()
    groups.slots = 1
    groups.slot_queue.grant_slots()
    await run_event_loop()
    assert waiting.done()


# Guards against: a large account takes all permits of limited servers.
async def test_permit_goes_to_the_account_with_fewer_requests() -> None:
    groups = FakeGroups(slots=2)
    groups.permit_wait_ms = 0
    for number in range(2):
        sent = request(number, account="large")
        await groups.send(sent)
        groups.slot_queue.end(sent)
    accounts = ("large", "large", "small")
    waiting = [
        asyncio.create_task(groups.send(request(10 + n, account=account)))
        for n, account in enumerate(accounts)
    ]
    await run_event_loop()
    groups.slots = 1
    groups.slot_queue.grant_slots()
    await run_event_loop()
    assert [t.done() for t in waiting] == [False, False, True]
    for task in waiting[:2]:
        task.cancel()


async def test_slot_of_cancelled_request_goes_to_the_next() -> None:
    groups, first, waiting = await groups_with_two_waiting()
    waiting[0].cancel()
    await run_event_loop()
    groups.end(first)
    await run_event_loop()
    assert waiting[1].done()
    assert not waiting[1].cancelled()


async def test_slot_released_during_a_cancellation_is_not_lost() -> None:
    groups, first, waiting = await groups_with_two_waiting()
    waiting[0].cancel()
    groups.end(first)
    await asyncio.sleep(2 * _slot_queue.RECHECK_INTERVAL_S)
    assert waiting[1].done()
    assert not waiting[1].cancelled()
    assert not groups.slot_queue._granted
    assert not groups.slot_queue._queue.pools()


async def test_wait_times_out_before_the_deadline() -> None:
    groups = FakeGroups(slots=0)
    with pytest.raises(_slot_queue.QueueTimeoutError):
        await groups.slot_queue.wait(request(1, remaining_ms=SHORT_MS))


@pytest.mark.parametrize(
    ("slots", "entries", "model"),
    [
        pytest.param(None, 6, "large", id="no-group-serves-the-model"),
        pytest.param(0, 86, "large", id="loads-are-known-too-late"),
        pytest.param(0, 6, "", id="plain-server"),
    ],
)
async def test_request_without_load_information_does_not_wait(
    slots: int | None, entries: int, model: str
) -> None:
    await FakeGroups(slots, entries).slot_queue.wait(request(1, model=model))


async def test_loss_of_all_groups_ends_the_waits() -> None:
    """Queued requests are then refused at once, not at their time limit."""
    groups = FakeGroups(slots=0)
    waiting = asyncio.create_task(groups.slot_queue.wait(request(1)))
    await run_event_loop()
    groups.slots = None
    groups.slot_queue.begin(request(2))
    groups.slot_queue.end(request(2))
    await run_event_loop()
    assert waiting.done()
