"""A request whose content crashes each engine that runs it, or only one."""

from lagooncrank import results
from lagooncrank.server.tests import harness as harnesses
from standins import engine

POISON = "poison"
REFUSED = "lagooncrank_refusals_total"


def _crash_on_poison(member: engine.Engine) -> None:
    poisoned = POISON in member.requests[-1]["prompt"]
    member.disconnects_after = 0 if poisoned else None


def _poison_runs(harness: harnesses.DaemonHarness) -> int:
    prompts = [r["prompt"] for e in harness.engines for r in e.requests]
    return sum(POISON in prompt for prompt in prompts)


async def test_content_that_crashes_engines_is_refused_after_two_crashes(
    harness: harnesses.DaemonHarness,
) -> None:
    for member in harness.engines:
        member.on_request = _crash_on_poison
    answers = []
    for _ in range(4):
        async with harness.complete(prompt=POISON) as response:
            answers.append((response.status, await response.json()))
    assert _poison_runs(harness) == 2
    assert answers[0][1]["ran"] == results.ExecutionStatus.UNKNOWN
    for status, problem in answers[1:]:
        assert status == 422
        assert problem["code"] == results.ResultCode.REQUEST_QUARANTINED
        assert problem["ran"] == results.ExecutionStatus.NOT_RUN
    [record] = harness.shared.view.crash_records.values()
    assert len(record.victims) == 2


async def test_harmless_content_completes_and_clears_its_crash_record(
    harness: harnesses.DaemonHarness,
) -> None:
    # One engine crashes once while it runs a harmless content.
    def crash_once(member: engine.Engine) -> None:
        for other in harness.engines:
            other.on_request = None
            other.disconnects_after = 0 if other is member else None

    for member in harness.engines:
        member.on_request = crash_once
    async with harness.complete(prompt="harmless") as response:
        assert response.status == 200
    await harness.daemon.crash_monitor.wait_until_shared()
    assert not harness.shared.view.crash_records
    async with harness.complete(prompt="harmless") as response:
        assert response.status == 200
