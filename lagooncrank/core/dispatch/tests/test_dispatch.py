"""Target choice, retry budget, failure backoff and stall detection."""

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import dispatch

SERVICE = model.ServiceName("writers")


def target(name: str, domain: str = "a") -> dispatch.Target:
    return dispatch.Target(
        model.BackendServerId(name),
        f"{name}:80",
        SERVICE,
        model.FailureDomainId(domain),
        4,
    )


def choose(
    targets: list[dispatch.Target],
    loads: dispatch.InFlightTracker,
    avoided: tuple[str, ...] = (),
    tried: tuple[str, ...] = (),
) -> str | None:
    chosen = dispatch.choose_target(
        targets, loads, avoided, tried, model.FailureDomainId("a"), (0.0, 0.0)
    )
    return None if chosen is None else chosen.server_id


def test_least_loaded_then_local_target_is_chosen() -> None:
    loads = dispatch.InFlightTracker()
    targets = [target("remote", "b"), target("local")]
    assert choose(targets, loads) == "local"
    loads.begin("local")
    assert choose(targets, loads) == "remote"


def test_totals_add_requests_of_other_entries_only() -> None:
    loads = dispatch.InFlightTracker()
    loads.begin("one")
    assert loads.publish() == {"one": 1}
    loads.set_fleet_totals({"one": 1, "two": 3})
    assert loads.in_flight("one") == 1
    assert loads.in_flight("two") == 3


def test_avoided_server_is_used_when_there_is_no_other() -> None:
    loads = dispatch.InFlightTracker()
    targets = [target("one"), target("two")]
    assert choose(targets, loads, avoided=("one",)) == "two"
    assert choose(targets, loads, avoided=("one", "two")) == "one"
    assert choose(targets, loads, tried=("one", "two")) is None


def test_service_without_weight_is_never_drawn() -> None:
    splits = (
        model.TrafficSplit(model.ServiceName("zero"), 0),
        model.TrafficSplit(model.ServiceName("one"), 1),
        model.TrafficSplit(model.ServiceName("three"), 3),
    )
    route = model.Route(
        "r", "h", "/", model.RequestKind.AT_MOST_ONCE, 1_000, 100, splits
    )
    chosen = [dispatch.choose_service(route, n / 100) for n in range(101)]
    assert chosen.count(model.ServiceName("zero")) == 0
    assert 24 <= chosen.count(model.ServiceName("one")) <= 26


def test_retries_of_all_entries_stay_within_the_shared_budget() -> None:
    """Every request fails, and each entry tries to retry all of its own."""
    rules = model.RetryBudgetRules(window_ms=10_000, ratio=0.2, extra=130)
    entries = [
        dispatch.SharedRetryBudget(rules, 0, is_first_start=True)
        for _ in range(9)
    ]
    requests = retries = 0
    for now_ms in range(0, 10_000, 10):
        entry = entries[now_ms // 10 % 9]
        entry.record_request(SERVICE, now_ms)
        requests += 1
        retries += entry.try_acquire(SERVICE, 9, now_ms)
    assert 0 < retries <= 0.2 * requests + 130


def test_retry_budget_recovers_with_the_window() -> None:
    rules = model.RetryBudgetRules(window_ms=1_000, ratio=0.0, extra=10)
    budget = dispatch.SharedRetryBudget(rules, 0, is_first_start=True)
    assert sum(budget.try_acquire(SERVICE, 1, 0) for _ in range(20)) == 3
    assert not budget.try_acquire(SERVICE, 1, 100)
    assert sum(budget.try_acquire(SERVICE, 1, 1_000) for _ in range(20)) == 3
    assert not budget.try_acquire(SERVICE, 1, 1_000)
    # Less than the whole budget in any window, however it is spent.
    times_ms = [
        t for t in range(2_001, 5_000) if budget.try_acquire(SERVICE, 1, t)
    ]
    assert all(
        sum(start <= t <= start + 1_000 for t in times_ms) <= 10
        for start in range(1_000, 4_000)
    )
    assert len(times_ms) >= 12


def test_head_is_stalled_when_all_its_streams_are() -> None:
    progress = dispatch.StreamProgress()
    progress.begin("head", 1, 0)
    progress.begin("head", 2, 0)
    progress.record_event("head", 1, 100, 100)
    progress.record_event("head", 2, 300, 300)
    assert not progress.stalled(500)
    assert progress.stalled(650) == {"head"}
    progress.record_event("head", 1, 660, 660)
    assert not progress.stalled(700)


def test_first_event_has_a_longer_stall_limit() -> None:
    progress = dispatch.StreamProgress()
    progress.begin("head", 1, 0)
    assert not progress.stalled(900)
    assert progress.stalled(1_000) == {"head"}
    progress.end("head", 1)
    assert not progress.stalled(2_000)


def test_pause_of_the_entry_does_not_count_as_a_stall() -> None:
    clock = clocks.ManualClock()
    observed_clock = observed_time.ObservedClock(clock)
    progress = dispatch.StreamProgress()
    progress.begin("head", 1, 0)
    clock.advance(100)
    observed_clock.tick()
    progress.record_event("head", 1, observed_clock.now_ms(), clock.now_ms())
    clock.advance(3_000)
    assert not progress.stalled(observed_clock.now_ms())
    observed_clock.tick()
    resumed_ms = observed_clock.now_ms()
    progress.begin("other", 2, resumed_ms)
    # The silence before the pause counts: it did not begin anew.
    assert not progress.stalled(449)
    assert progress.stalled(450) == {"head"}
    assert progress.stalled(resumed_ms + 1_000) == {"head", "other"}


def test_head_counts_as_working_for_a_second_after_an_event() -> None:
    progress = dispatch.StreamProgress()
    progress.begin("head", 1, 0)
    progress.record_event("head", 1, 100, 100)
    progress.end("head", 1)
    assert progress.working(1_000) == {"head"}
    assert not progress.working(1_100)


def test_server_that_fails_again_is_avoided_for_longer() -> None:
    backoff = dispatch.FailureBackoff()
    backoff.record_failure("one", 0)
    assert backoff.avoided(499) == {"one"}
    assert not backoff.avoided(500)
    backoff.record_failure("one", 500)
    assert backoff.avoided(1_400) == {"one"}
    backoff.record_success("one")
    assert not backoff.avoided(1_400)


def test_stream_is_overdue_after_a_step_without_an_event() -> None:
    progress = dispatch.StreamProgress()
    progress.begin("head", 1, 0)
    progress.record_event("head", 1, 100, 100)
    assert not progress.is_overdue("head", 1, 349)
    assert progress.is_overdue("head", 1, 350)
    assert not progress.is_overdue("head", 2, 10_000)


# Guards against: an entry that stood still gave up its streams at once if
# another one said that their server had stalled.
def test_pause_of_the_entry_makes_no_stream_overdue() -> None:
    clock = clocks.ManualClock()
    observed_clock = observed_time.ObservedClock(clock)
    progress = dispatch.StreamProgress()
    progress.begin("head", 1, 0)
    clock.advance(3_000)
    assert not progress.is_overdue("head", 1, observed_clock.now_ms())
