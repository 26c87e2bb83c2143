import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from lagooncrank import model
from lagooncrank.core import retry

RULES = model.RetryRules(suspicion_ms=1_000)
POISON = b"poison"


def _policy(name: str = "crash_marks") -> retry.SuspicionPolicy:
    return retry.SUSPICION_POLICIES.get(name).from_config(
        retry.RetryConfig(RULES)
    )


def _run_and_crash(
    policy: retry.SuspicionPolicy, target: str, now_ms: int
) -> None:
    policy.record_start(POISON, target, now_ms)
    policy.record_crash(target, now_ms)


@pytest.mark.parametrize(
    ("crashes", "verdict"),
    [
        pytest.param(0, retry.Verdict.CLEAR, id="never-crashed"),
        pytest.param(1, retry.Verdict.ISOLATE, id="one-crash"),
        pytest.param(2, retry.Verdict.REFUSE, id="two-crashes"),
    ],
)
def test_verdict_depends_on_number_of_crashed_targets(
    crashes: int, verdict: retry.Verdict
) -> None:
    policy = _policy()
    for index in range(crashes):
        _run_and_crash(policy, f"t{index}", now_ms=index)
    assert policy.verdict(POISON, 10) is verdict


def test_crash_records_expire() -> None:
    policy = _policy()
    _run_and_crash(policy, "t1", now_ms=0)
    assert policy.verdict(POISON, 999) is retry.Verdict.ISOLATE
    assert policy.verdict(POISON, 1_000) is retry.Verdict.CLEAR


def test_content_is_clear_after_its_records_are_removed() -> None:
    policy = _policy()
    _run_and_crash(policy, "t1", now_ms=0)
    _run_and_crash(policy, "t2", now_ms=0)
    policy.clear_records(POISON)
    assert policy.verdict(POISON, 1) is retry.Verdict.CLEAR


def test_suspect_is_cleared_by_completion_but_not_by_cancellation() -> None:
    policy = _policy()
    policy.record_start(b"bystander", "t1", 0)
    _run_and_crash(policy, "t1", 0)
    policy.record_start(b"bystander", "t2", 1)
    assert not policy.record_finish(b"bystander", "t2", 2, completed=False)
    assert policy.verdict(b"bystander", 2) is retry.Verdict.ISOLATE
    policy.record_start(b"bystander", "t2", 3)
    assert policy.record_finish(b"bystander", "t2", 4, completed=True)
    assert policy.verdict(b"bystander", 4) is retry.Verdict.CLEAR


def test_shared_records_count_with_local_ones() -> None:
    policy = _policy()
    _run_and_crash(policy, "t1", 0)
    policy.add_record(retry.CrashRecord(POISON, "t1"), 500)
    assert policy.verdict(POISON, 1) is retry.Verdict.ISOLATE
    policy.add_record(retry.CrashRecord(POISON, "t2"), 500)
    assert policy.verdict(POISON, 1) is retry.Verdict.REFUSE


def test_domain_failure_leaves_records_for_two_targets_at_most() -> None:
    policy = _policy()
    for index in range(10):
        policy.record_start(f"c{index}".encode(), f"t{index}", 0)
    records = [r for i in range(10) for r in policy.record_crash(f"t{i}", 100)]
    assert {record.victim for record in records} == {"t0", "t1"}


@given(seed=st.integers(0, 10_000), entries=st.integers(1, 4))
def test_one_content_crashes_at_most_two_targets(
    seed: int, entries: int
) -> None:
    # Guards against a poison request that takes down target after target while
    # its caller retries it through random entries. Crash records reach the
    # other entries before the caller is answered.
    rng = random.Random(seed)
    policies = [_policy() for _ in range(entries)]
    crashed = set()
    for step in range(40):
        now_ms = step
        policy = rng.choice(policies)
        if policy.verdict(POISON, now_ms) is retry.Verdict.REFUSE:
            continue
        excluded = policy.targets_with_suspects(POISON, now_ms)
        candidates = [
            f"t{i}" for i in range(8) if f"t{i}@{step}" not in excluded
        ]
        target = f"{rng.choice(candidates)}@{step}"
        bystanders = [f"b{step}-{i}".encode() for i in range(3)]
        for digest in (POISON, *bystanders):
            policy.record_start(digest, target, now_ms)
        crashed.add(target)
        for record in policy.record_crash(target, now_ms):
            for receiver in policies:
                receiver.add_record(record, now_ms + RULES.suspicion_ms)
    assert len(crashed) == 2
    baseline = _policy("none")
    for step in range(40):
        _run_and_crash(baseline, f"t{step}", step)
    assert baseline.verdict(POISON, 40) is retry.Verdict.CLEAR


@given(seed=st.integers(0, 10_000))
def test_suspects_never_share_a_target(seed: int) -> None:
    rng = random.Random(seed)
    policy = _policy()
    contents = [f"c{i}".encode() for i in range(6)]
    for content in contents:
        policy.record_start(content, "first", 0)
    policy.record_crash("first", 0)
    placed: dict[str, bytes] = {}
    for content in contents:
        excluded = policy.targets_with_suspects(content, 1)
        free = [f"t{i}" for i in range(8) if f"t{i}" not in excluded]
        target = rng.choice(free)
        assert target not in placed
        placed[target] = content
        policy.record_start(content, target, 1)
    crashed_target = rng.choice(sorted(placed))
    policy.record_crash(crashed_target, 2)
    refused = [
        content
        for content in contents
        if policy.verdict(content, 3) is retry.Verdict.REFUSE
    ]
    assert refused == [placed[crashed_target]]
