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


def _crash(policy: retry.SuspicionPolicy, victim: str, now_ms: int) -> None:
    policy.record_start(POISON, victim, now_ms)
    policy.record_crash(victim, now_ms)


@pytest.mark.parametrize(
    ("crashes", "verdict"),
    [
        pytest.param(0, retry.Verdict.CLEAR, id="never-crashed"),
        pytest.param(1, retry.Verdict.ISOLATE, id="one-crash"),
        pytest.param(2, retry.Verdict.REFUSE, id="two-crashes"),
    ],
)
def test_verdict_follows_distinct_victims(
    crashes: int, verdict: retry.Verdict
) -> None:
    policy = _policy()
    for index in range(crashes):
        _crash(policy, f"t{index}", now_ms=index)
    assert policy.verdict(POISON, 10) is verdict


def test_marks_lapse() -> None:
    policy = _policy()
    _crash(policy, "t1", now_ms=0)
    assert policy.verdict(POISON, 999) is retry.Verdict.ISOLATE
    assert policy.verdict(POISON, 1_000) is retry.Verdict.CLEAR


def test_operator_lifts_marks() -> None:
    policy = _policy()
    _crash(policy, "t1", now_ms=0)
    _crash(policy, "t2", now_ms=0)
    policy.clear_records(POISON)
    assert policy.verdict(POISON, 1) is retry.Verdict.CLEAR


def test_bystander_clears_by_completing_but_not_by_being_cancelled() -> None:
    policy = _policy()
    policy.record_start(b"bystander", "t1", 0)
    _crash(policy, "t1", 0)
    policy.record_start(b"bystander", "t2", 1)
    assert not policy.record_finish(b"bystander", "t2", 2, completed=False)
    assert policy.verdict(b"bystander", 2) is retry.Verdict.ISOLATE
    policy.record_start(b"bystander", "t2", 3)
    assert policy.record_finish(b"bystander", "t2", 4, completed=True)
    assert policy.verdict(b"bystander", 4) is retry.Verdict.CLEAR


def test_shared_marks_count_with_own() -> None:
    policy = _policy()
    _crash(policy, "t1", 0)
    policy.add_record(retry.CrashRecord(POISON, "t1"), 500)
    assert policy.verdict(POISON, 1) is retry.Verdict.ISOLATE
    policy.add_record(retry.CrashRecord(POISON, "t2"), 500)
    assert policy.verdict(POISON, 1) is retry.Verdict.REFUSE


def test_crash_of_a_whole_domain_marks_two_targets_at_most() -> None:
    policy = _policy()
    for index in range(10):
        policy.record_start(f"c{index}".encode(), f"t{index}", 0)
    marks = [m for i in range(10) for m in policy.record_crash(f"t{i}", 100)]
    assert {mark.victim for mark in marks} == {"t0", "t1"}


@given(seed=st.integers(0, 10_000), entries=st.integers(1, 4))
def test_one_content_takes_down_two_targets_at_most(
    seed: int, entries: int
) -> None:
    # The poison is sent again and again through random entries, among other
    # contents; marks reach the other entries before the answer.
    source = random.Random(seed)
    policies = [_policy() for _ in range(entries)]
    lost = set()
    for step in range(40):
        now_ms = step
        policy = source.choice(policies)
        if policy.verdict(POISON, now_ms) is retry.Verdict.REFUSE:
            continue
        taken = policy.targets_with_suspects(POISON, now_ms)
        names = [f"t{i}" for i in range(8) if f"t{i}@{step}" not in taken]
        victim = f"{source.choice(names)}@{step}"
        bystanders = [f"b{step}-{i}".encode() for i in range(3)]
        for digest in (POISON, *bystanders):
            policy.record_start(digest, victim, now_ms)
        lost.add(victim)
        for mark in policy.record_crash(victim, now_ms):
            for other in policies:
                other.add_record(mark, now_ms + RULES.suspicion_ms)
    assert len(lost) == 2
    naive = _policy("none")
    for step in range(40):
        _crash(naive, f"t{step}", step)
    assert naive.verdict(POISON, 40) is retry.Verdict.CLEAR


@given(seed=st.integers(0, 10_000))
def test_suspects_never_share_a_target(seed: int) -> None:
    source = random.Random(seed)
    policy = _policy()
    contents = [f"c{i}".encode() for i in range(6)]
    for content in contents:
        policy.record_start(content, "first", 0)
    policy.record_crash("first", 0)
    placed: dict[str, bytes] = {}
    for content in contents:
        taken = policy.targets_with_suspects(content, 1)
        free = [f"t{i}" for i in range(8) if f"t{i}" not in taken]
        victim = source.choice(free)
        assert victim not in placed
        placed[victim] = content
        policy.record_start(content, victim, 1)
    culprit = source.choice(sorted(placed))
    policy.record_crash(culprit, 2)
    refused = [
        content
        for content in contents
        if policy.verdict(content, 3) is retry.Verdict.REFUSE
    ]
    assert refused == [placed[culprit]]
