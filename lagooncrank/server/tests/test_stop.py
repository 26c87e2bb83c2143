"""Planned stop of an entry with callers that know it."""

import asyncio
import dataclasses

import pytest

from lagooncrank.server import _lifecycle
from lagooncrank.server import _stop
from lagooncrank.server.tests import harness as harnesses
from standins import _tokens


async def entries_of(harness: harnesses.DaemonHarness) -> list[str]:
    async with harness.session.get(harness.url("/v1/entries")) as response:
        answer = await response.json()
    return [entry["address"] for entry in answer["entries"]]


async def test_stop_cuts_off_nothing(harness: harnesses.DaemonHarness) -> None:
    directory = harness.daemon.directory
    await harnesses.wait_until(lambda: bool(directory.addresses(None)))
    assert await entries_of(harness) == [harness.address]
    stop = asyncio.create_task(harness.daemon.planned_stop.run())
    await asyncio.sleep(0)
    assert await entries_of(harness) == []
    async with harness.session.get(harness.url("/healthz")) as health:
        assert await health.json() == {"state": "leaving"}
    async with harness.complete(max_tokens=50) as early:
        harness.daemon.planned_stop.skip_notice_period()
        await harnesses.wait_until(
            lambda: harness.daemon.lifecycle.phase is _lifecycle.Phase.DRAINING
        )
        async with harness.complete() as late:
            problem = await late.json(content_type=None)
        answer = await early.json()
    assert answer["choices"][0]["text"] == _tokens.answer("hello", 50)
    assert (problem["title"], problem["ran"]) == ("STOPPING", "not_run")
    assert await stop


async def test_stream_in_flight_outlasts_the_refusal_of_new_work(
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


async def test_booking_goes_on_when_its_caller_goes_away(
    harness: harnesses.DaemonHarness,
) -> None:
    harness.booking.answering.clear()
    call = asyncio.create_task(book(harness, "k1"))
    await harnesses.wait_until(lambda: "k1" in harness.booking.runs)
    call.cancel()
    await harnesses.wait_until(
        lambda: harness.daemon.lifecycle.in_flight == 1 and call.done()
    )
    harness.booking.answering.set()
    await harness.daemon.lifecycle.idle.wait()
    assert await book(harness, "k1") == (201, True)
    assert len(harness.booking.runs["k1"]) == 1


async def book(harness: harnesses.DaemonHarness, key: str) -> tuple[int, bool]:
    """Books and returns the status and whether the answer was stored."""
    url = harness.url(f"/v1/services/{harnesses.BOOKING}/slots")
    headers = harnesses.HEADERS | {"Idempotency-Key": key}
    async with harness.session.post(url, json={}, headers=headers) as response:
        replayed = "Idempotency-Replayed" in response.headers
        await response.read()
        return response.status, replayed


@pytest.mark.parametrize(
    ("kept_ms", "longest_ms"),
    [
        pytest.param([500], 500, id="one"),
        pytest.param([9_000, 500], 9_000, id="earlier_revision"),
    ],
)
async def test_longest_kept_answer_counts(
    harness: harnesses.DaemonHarness, kept_ms: list[int], longest_ms: int
) -> None:
    for keep_for_ms in kept_ms:
        leases = dataclasses.replace(
            harnesses.DECLARATIONS.leases, entries_keep_for_ms=keep_for_ms
        )
        await harness.apply(harnesses.DECLARATIONS.with_changes(leases=leases))
    longest = harness.daemon.planned_stop.notice_period_ms()
    assert longest == longest_ms + _stop.PEER_NOTICE_MS
