import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import admission
from lagooncrank.core.admission.tests import driver

SHARES = {"small": 10, "other": 10, "large": 20}
SLOTS = 40

runs = settings(max_examples=25)
seeds = st.integers(0, 10_000)
entry_counts = st.integers(1, 4)


def _mixed(seed: int, entries: int, until_ms: int) -> list[driver.Arrival]:
    """Returns a small account under its share and two far over theirs."""
    source = random.Random(seed)
    everywhere = range(entries)
    here = (source.randrange(entries),)
    duration_ms = source.choice((200, 1_000, 4_000))
    per_s = 1_000 / duration_ms
    return [
        *driver.poisson(
            "small", 5 * per_s, until_ms, source, here, duration_ms
        ),
        *driver.poisson(
            "other", 30 * per_s, until_ms, source, everywhere, duration_ms
        ),
        *driver.poisson(
            "large", 100 * per_s, until_ms, source, everywhere, duration_ms
        ),
    ]


@runs
@given(seed=seeds, entries=entry_counts)
def test_every_request_is_answered_once(seed: int, entries: int) -> None:
    run = driver.Driver("fair_share", driver.declare(SHARES), SLOTS, entries)
    run.run(_mixed(seed, entries, until_ms=4_000), until_ms=60_000)
    for fate in run.fates.values():
        ends = len(fate.refusals) + (fate.ended_ms is not None)
        assert ends == 1
        assert len(fate.starts_ms) <= fate.suspensions + 1


class _ShareWatch(driver.Driver):
    """Finds accounts that wait while they run less than their share."""

    #: Time in which a share must be back after others borrowed it.
    GRACE_MS = 1_500

    def __init__(self, entries: int) -> None:
        declarations = driver.declare(SHARES)
        super().__init__("fair_share", declarations, SLOTS, entries)
        self.below_since_ms: dict[str, int] = {}
        self.longest_below_ms = 0

    def step(self) -> None:
        for account, share in SHARES.items():
            slots = SLOTS * share // sum(SHARES.values())
            running = self.count(account, "running")
            # One slot may be on its way from one entry to another.
            below = running < slots - len(self.policies)
            if not (below and self.count(account, "waiting")):
                self.below_since_ms.pop(account, None)
                continue
            since_ms = self.below_since_ms.setdefault(account, self.now_ms)
            below_ms = self.now_ms - since_ms
            self.longest_below_ms = max(self.longest_below_ms, below_ms)


@runs
@given(seed=seeds, entries=entry_counts)
def test_no_account_stays_below_its_share_with_work_queued(
    seed: int, entries: int
) -> None:
    run = _ShareWatch(entries)
    run.run(_mixed(seed, entries, until_ms=6_000), until_ms=6_000)
    assert run.longest_below_ms <= run.GRACE_MS


@runs
@given(seed=seeds, entries=entry_counts)
def test_queues_are_bounded_and_refusals_truthful(
    seed: int, entries: int
) -> None:
    declarations = driver.declare(SHARES, max_queued_requests=5)
    run = driver.Driver("fair_share", declarations, SLOTS, entries)
    run.run(_mixed(seed, entries, until_ms=3_000), until_ms=3_000)
    for account in SHARES:
        assert run.count(account, "waiting") <= 5 * entries
    for fate in run.fates.values():
        for refusal in fate.refusals:
            ran = results.Ran.RAN if fate.starts_ms else results.Ran.NOT_RUN
            assert refusal.ran is ran
            assert refusal.retry_after_ms is not None
            assert refusal.retry_after_ms >= 100


@runs
@given(seed=seeds)
def test_wait_behind_lent_work_is_bounded(seed: int) -> None:
    # The small account is idle while the large one borrows everything.
    source = random.Random(seed)
    long_ms = 60_000
    arrivals = driver.poisson("large", 200, 2_000, source, (0,), long_ms)
    burst = [driver.Arrival(3_000, "small", 0, long_ms) for _ in range(8)]
    run = driver.Driver("fair_share", driver.declare(SHARES), SLOTS)
    run.run([*arrivals, *burst], until_ms=4_500)
    small = [f for f in run.fates.values() if f.arrival.account == "small"]
    waits = [fate.starts_ms[0] - 3_000 for fate in small]
    assert max(waits) <= 200 + driver.TICK_MS
    assert {p for fate in small for p in fate.priorities} == {0}
    lent = [f for f in run.fates.values() if f.suspensions]
    assert lent
    assert run.count("large", "running") >= SLOTS // 2 - 1


def test_idle_share_is_lent_and_given_back() -> None:
    source = random.Random(1)
    run = driver.Driver("fair_share", driver.declare(SHARES), SLOTS)
    run.run(driver.poisson("large", 80, 5_000, source), until_ms=3_000)
    assert run.count("large", "running") >= 0.9 * SLOTS
    late = [driver.Arrival(run.now_ms, "small") for _ in range(8)]
    run.run(late, until_ms=run.now_ms + 400)
    assert run.count("small", "waiting") == 0


def test_suspended_work_resumes_when_capacity_is_idle_again() -> None:
    run = driver.Driver("fair_share", driver.declare(SHARES), SLOTS)
    large = [
        driver.Arrival(0, "large", 0, 8_000, target_ms=200_000)
        for _ in range(SLOTS)
    ]
    small = [driver.Arrival(2_000, "small", 0, 2_000) for _ in range(10)]
    run.run([*large, *small], until_ms=40_000)
    suspended = [f for f in run.fates.values() if f.suspensions]
    assert suspended
    assert all(f.ended_ms is not None for f in suspended)


@pytest.mark.parametrize("entries", [1, 3], ids=["one-entry", "three-entries"])
def test_small_account_is_timely_where_first_come_makes_it_wait(
    entries: int,
) -> None:
    arrivals = _mixed(seed=3, entries=entries, until_ms=8_000)
    timely = {}
    for policy in ("first_come", "fair_share"):
        run = driver.Driver(policy, driver.declare(SHARES), SLOTS, entries)
        run.run(arrivals, until_ms=12_000)
        small = [f for f in run.fates.values() if f.arrival.account == "small"]
        in_time = sum(
            bool(f.starts_ms) and f.starts_ms[0] - f.arrival.at_ms <= 300
            for f in small
        )
        timely[policy] = in_time / len(small)
        # The naive policy must refuse or delay, else nothing is compared.
        assert any(f.refusals for f in run.fates.values()) or entries > 1
    assert timely["fair_share"] >= 0.95
    assert timely["fair_share"] >= timely["first_come"]


def test_large_account_gets_one_share_from_many_entries() -> None:
    source = random.Random(5)
    everywhere = range(4)
    arrivals = [
        *driver.poisson("small", 80, 6_000, source, everywhere),
        *driver.poisson("other", 80, 6_000, source, everywhere),
        *driver.poisson("large", 200, 6_000, source, everywhere),
    ]
    run = driver.Driver("fair_share", driver.declare(SHARES), SLOTS, 4)
    run.run(arrivals, until_ms=6_000)
    assert run.count("large", "running") <= SLOTS / 2 + 4
    assert run.count("small", "running") >= SLOTS / 4 - 4


def test_new_entry_takes_no_more_than_its_part_before_it_heard_others() -> None:
    config = admission.AdmissionConfig(model.NodeId("new"), 1, entries=4)
    policy = admission.ADMISSION_POLICIES.get("fair_share").from_config(config)
    policy.configure(driver.declare({"a": 1}), 0)
    capacity = admission.Capacity(driver.SERVICE, 1, SLOTS, 100)
    policy.set_capacity(capacity, 0)
    started = 0
    for index in range(SLOTS):
        offer = admission.Offer(
            model.RequestId(f"r{index}"),
            model.ClientAccountId("a"),
            driver.SERVICE,
            prompt_tokens=1,
            max_output_tokens=100,
            first_token_deadline_ms=60_000,
        )
        effects = policy.offer(offer, 1)
        started += sum(isinstance(e, admission.Start) for e in effects)
    assert 0 < started <= SLOTS // 4


def _without_capacity() -> admission.AdmissionPolicy:
    config = admission.AdmissionConfig(model.NodeId("e1"), 1, entries=1)
    policy = admission.ADMISSION_POLICIES.get("fair_share").from_config(config)
    policy.configure(driver.declare({"a": 1}), 0)
    return policy


def _offer(name: str) -> admission.Offer:
    return admission.Offer(
        model.RequestId(name),
        model.ClientAccountId("a"),
        driver.SERVICE,
        prompt_tokens=1,
        max_output_tokens=100,
        first_token_deadline_ms=1_300,
    )


def test_burst_before_the_capacity_is_known_waits_for_it() -> None:
    policy = _without_capacity()
    for index in range(8):
        assert not policy.offer(_offer(f"r{index}"), 0)
    capacity = admission.Capacity(driver.SERVICE, 1, SLOTS, 100)
    effects = policy.set_capacity(capacity, 100)
    assert [type(e) for e in effects] == 8 * [admission.Start]


def test_queue_without_capacity_is_refused_at_the_deadline() -> None:
    policy = _without_capacity()
    assert not policy.offer(_offer("r"), 0)
    [effect] = policy.tick(1_300)
    assert isinstance(effect, admission.Refuse)
    assert effect.refusal.code is results.ResultCode.QUEUE_TIMEOUT
    assert effect.refusal.ran is results.Ran.NOT_RUN


def test_undeclared_account_is_refused() -> None:
    run = driver.Driver("fair_share", driver.declare({"a": 1}), SLOTS)
    run.run([driver.Arrival(0, "stranger")], until_ms=100)
    [fate] = run.fates.values()
    assert [r.code for r in fate.refusals] == [results.ResultCode.FORBIDDEN]
