"""Planned stop of an entry that callers still use."""

import asyncio
import dataclasses

import pytest

from lagooncrank.server import _lifecycle
from lagooncrank.server import _stop
from lagooncrank.server.tests import harness as harnesses
from standins import _tokens


async def listed_addresses(harness: harnesses.DaemonHarness) -> list[str]:
    async with harness.session.get(harness.url("/v1/entries")) as response:
        body = await response.json()
    return [entry["address"] for entry in body["entries"]]


async def test_planned_stop_interrupts_no_request(
    harness: harnesses.DaemonHarness,
) -> None:
    directory = harness.daemon.directory
    await harnesses.wait_until(lambda: bool(directory.addresses(None)))
    assert await listed_addresses(harness) == [harness.address]
    stop = asyncio.create_task(harness.daemon.planned_stop.run())
    await asyncio.sleep(0)
    assert await listed_addresses(harness) == []
    async with harness.session.get(harness.url("/healthz")) as health:
        assert await health.json() == {"state": "leaving"}
    async with harness.complete(max_tokens=50) as open_response:
        harness.daemon.planned_stop.skip_notice_period()
        await harnesses.wait_until(
            lambda: harness.daemon.lifecycle.phase is _lifecycle.Phase.DRAINING
        )
        async with harness.complete() as refused_response:
            problem = await refused_response.json(content_type=None)
        completion = await open_response.json()
    assert completion["choices"][0]["text"] == _tokens.answer("hello", 50)
    assert (problem["title"], problem["ran"]) == ("STOPPING", "not_run")
    assert await stop


async def test_open_stream_completes_while_new_requests_are_refused(
    harness: harnesses.DaemonHarness,
) -> None:
    async with harness.complete(stream=True, max_tokens=50) as response:
        stop = asyncio.create_task(harness.daemon.planned_stop.run())
        harness.daemon.planned_stop.skip_notice_period()
        raw = await response.read()
    assert raw.endswith(b"data: [DONE]\n\n")
    assert await stop


async def test_stop_deadline_ends_the_wait(
    harness: harnesses.DaemonHarness,
) -> None:
    stop = _stop.PlannedStop(
        harness.daemon.lifecycle, harness.daemon.directory, harness.shared, 1
    )
    stop.skip_notice_period()
    async with harness.complete(stream=True, max_tokens=4_000):
        assert not await stop.run()


async def test_booking_continues_after_its_caller_disconnects(
    harness: harnesses.DaemonHarness,
) -> None:
    harness.booking.may_respond.clear()
    call = asyncio.create_task(book(harness, "k1"))
    await harnesses.wait_until(lambda: "k1" in harness.booking.runs)
    call.cancel()
    await harnesses.wait_until(
        lambda: harness.daemon.lifecycle.in_flight == 1 and call.done()
    )
    harness.booking.may_respond.set()
    await harness.daemon.lifecycle.idle.wait()
    assert await book(harness, "k1") == (201, True)
    assert len(harness.booking.runs["k1"]) == 1


async def book(harness: harnesses.DaemonHarness, key: str) -> tuple[int, bool]:
    """Books; returns the status and whether a stored answer was replayed."""
    url = harness.url(f"/v1/services/{harnesses.BOOKING}/slots")
    headers = harnesses.HEADERS | {"Idempotency-Key": key}
    async with harness.session.post(url, json={}, headers=headers) as response:
        replayed = "Idempotency-Replayed" in response.headers
        await response.read()
        return response.status, replayed


@pytest.mark.parametrize(
    ("lifetimes_ms", "longest_ms"),
    [
        pytest.param([500], 500, id="one"),
        pytest.param([9_000, 500], 9_000, id="earlier_revision"),
    ],
)
async def test_notice_period_covers_the_longest_entry_list_lifetime(
    harness: harnesses.DaemonHarness, lifetimes_ms: list[int], longest_ms: int
) -> None:
    for keep_for_ms in lifetimes_ms:
        leases = dataclasses.replace(
            harnesses.DECLARATIONS.leases, entries_keep_for_ms=keep_for_ms
        )
        await harness.apply(harnesses.DECLARATIONS.with_changes(leases=leases))
    longest = harness.daemon.planned_stop.notice_period_ms()
    assert longest == longest_ms + _stop.PEER_NOTICE_MS
