"""Planned stop of an entry with callers that know it."""

import asyncio
import dataclasses

import pytest

from lagooncrank.server import _lifecycle
from lagooncrank.server import _stop
from lagooncrank.server.tests import site as sites
from standins import _tokens


async def entries_of(site: sites.Site) -> list[str]:
    async with site.session.get(site.url("/v1/entries")) as response:
        answer = await response.json()
    return [entry["address"] for entry in answer["entries"]]


async def test_stop_cuts_off_nothing(site: sites.Site) -> None:
    directory = site.daemon.directory
    await sites.until(lambda: bool(directory.addresses(None)))
    assert await entries_of(site) == [site.address]
    stop = asyncio.create_task(site.daemon.planned_stop.run())
    await asyncio.sleep(0)
    assert await entries_of(site) == []
    async with site.session.get(site.url("/healthz")) as health:
        assert await health.json() == {"state": "leaving"}
    async with site.complete(max_tokens=50) as early:
        site.daemon.planned_stop.hurry()
        await sites.until(
            lambda: site.daemon.lifecycle.phase is _lifecycle.Phase.DRAINING
        )
        async with site.complete() as late:
            problem = await late.json(content_type=None)
        answer = await early.json()
    assert answer["choices"][0]["text"] == _tokens.answer("hello", 50)
    assert (problem["title"], problem["ran"]) == ("STOPPING", "not_run")
    assert await stop


async def test_stream_in_flight_outlasts_the_refusal_of_new_work(
    site: sites.Site,
) -> None:
    async with site.complete(stream=True, max_tokens=50) as response:
        stop = asyncio.create_task(site.daemon.planned_stop.run())
        site.daemon.planned_stop.hurry()
        raw = await response.read()
    assert raw.endswith(b"data: [DONE]\n\n")
    assert await stop


async def test_stop_deadline_ends_the_wait(site: sites.Site) -> None:
    stop = _stop.PlannedStop(
        site.daemon.lifecycle, site.daemon.directory, site.shared, 1
    )
    stop.hurry()
    async with site.complete(stream=True, max_tokens=4_000):
        assert not await stop.run()


async def test_booking_goes_on_when_its_caller_goes_away(
    site: sites.Site,
) -> None:
    site.booking.answering.clear()
    call = asyncio.create_task(book(site, "k1"))
    await sites.until(lambda: "k1" in site.booking.runs)
    call.cancel()
    await sites.until(
        lambda: site.daemon.lifecycle.in_flight == 1 and call.done()
    )
    site.booking.answering.set()
    await site.daemon.lifecycle.idle.wait()
    assert await book(site, "k1") == (201, True)
    assert len(site.booking.runs["k1"]) == 1


async def book(site: sites.Site, key: str) -> tuple[int, bool]:
    """Books and returns the status and whether the answer was stored."""
    url = site.url(f"/v1/services/{sites.BOOKING}/slots")
    headers = sites.HEADERS | {"Idempotency-Key": key}
    async with site.session.post(url, json={}, headers=headers) as response:
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
    site: sites.Site, kept_ms: list[int], longest_ms: int
) -> None:
    for keep_for_ms in kept_ms:
        leases = dataclasses.replace(
            sites.DECLARATIONS.leases, entries_keep_for_ms=keep_for_ms
        )
        await site.apply(sites.DECLARATIONS.with_changes(leases=leases))
    longest = site.daemon.planned_stop.longest_keep_ms()
    assert longest == longest_ms + _stop.PEER_NOTICE_MS
