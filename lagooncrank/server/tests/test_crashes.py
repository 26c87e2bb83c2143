"""A request whose content crashes each engine that runs it, or only one."""

from lagooncrank import results
from lagooncrank.server.tests import site as sites
from standins import engine

POISON = "poison"
REFUSED = "lagooncrank_refusals_total"


def _crash_on_poison(member: engine.Engine) -> None:
    poisoned = POISON in member.requests[-1]["prompt"]
    member.cut_after = 0 if poisoned else None


def _poison_runs(site: sites.Site) -> int:
    prompts = [r["prompt"] for e in site.engines for r in e.requests]
    return sum(POISON in prompt for prompt in prompts)


async def test_content_that_crashes_engines_is_refused_after_two_crashes(
    site: sites.Site,
) -> None:
    for member in site.engines:
        member.on_request = _crash_on_poison
    answers = []
    for _ in range(4):
        async with site.complete(prompt=POISON) as response:
            answers.append((response.status, await response.json()))
    assert _poison_runs(site) == 2
    assert answers[0][1]["ran"] == results.Ran.UNKNOWN
    for status, problem in answers[1:]:
        assert status == 422
        assert problem["code"] == results.ResultCode.REQUEST_QUARANTINED
        assert problem["ran"] == results.Ran.NOT_RUN
    [record] = site.shared.view.crash_records.values()
    assert len(record.victims) == 2


async def test_harmless_content_completes_and_clears_its_crash_record(
    site: sites.Site,
) -> None:
    # One engine crashes once while it runs a harmless content.
    def crash_once(member: engine.Engine) -> None:
        for other in site.engines:
            other.on_request = None
            other.cut_after = 0 if other is member else None

    for member in site.engines:
        member.on_request = crash_once
    async with site.complete(prompt="harmless") as response:
        assert response.status == 200
    await site.daemon.crash_monitor.wait_until_shared()
    assert not site.shared.view.crash_records
    async with site.complete(prompt="harmless") as response:
        assert response.status == 200
