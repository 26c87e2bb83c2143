import collections
from collections.abc import Sequence
import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from lagooncrank import model
from lagooncrank.core import routing

ENTRIES = tuple(model.NodeId(f"e{i}") for i in range(3))
FAILURE_DOMAIN = model.FailureDomainId("fd")


def _router(node: str = "e0", name: str = "balanced") -> routing.Router:
    config = routing.RouterConfig(model.NodeId(node), FAILURE_DOMAIN, ENTRIES)
    return routing.ROUTERS.get(name).from_config(config)


def _target(
    name: str, running: int = 0, received_ms: int = 0, age_ms: int = 0
) -> routing.Target:
    return routing.Target(
        name,
        "127.0.0.1:1",
        FAILURE_DOMAIN,
        "1",
        model.LoadReport(running=running, age_ms=age_ms),
        load_received_ms=received_ms,
        concurrency=8,
    )


def _query(
    request_id: str,
    priority: int = 1,
    excluded: frozenset[str] = frozenset(),
    prefix: tuple[int, ...] = (),
) -> routing.RouteQuery:
    return routing.RouteQuery(
        model.RequestId(request_id),
        model.ServiceName("s"),
        model.ClientAccountId("a"),
        prompt_tokens=4_000,
        expected_output_tokens=100,
        prefix_digests=prefix,
        excluded=excluded,
        priority=priority,
    )


def _send(
    router: routing.Router,
    query: routing.RouteQuery,
    targets: Sequence[routing.Target],
    now_ms: int,
) -> str:
    target = router.choose(query, targets, now_ms)
    assert target is not None
    router.sent(query, target, now_ms)
    return target.target_id


def test_own_requests_in_a_report_are_not_counted_twice() -> None:
    router = _router()
    idle = [_target("a"), _target("b")]
    first = _send(router, _query("r1"), idle, 0)
    # The reports describe the loads at 100 ms. The only request at the first
    # target is r1; the other target runs three requests of other entries.
    other = "b" if first == "a" else "a"
    reported = [
        _target(first, 1, received_ms=600, age_ms=500),
        _target(other, 3, received_ms=600, age_ms=500),
    ]
    assert _send(router, _query("r2"), reported, 600) == first


@pytest.mark.parametrize("name", ["balanced", "round_robin"])
def test_excluded_targets_are_never_chosen(name: str) -> None:
    router = _router(name=name)
    targets = [_target("a"), _target("b")]
    query = _query("r", excluded=frozenset({"a"}))
    assert router.choose(query, targets, 0) == targets[1]
    all_excluded = _query("r", excluded=frozenset({"a", "b"}))
    assert router.choose(all_excluded, targets, 0) is None


def test_empty_target_in_a_report_is_not_overloaded() -> None:
    # Without other signals, three entries that act on the same report would
    # all send their requests to the one empty target.
    targets = [_target(f"t{i}", running=7) for i in range(8)]
    targets.append(_target("empty", running=0))
    chosen: collections.Counter[str] = collections.Counter()
    for node in ENTRIES:
        router = _router(node)
        for index in range(4):
            query = _query(f"{node}-{index}")
            chosen[_send(router, query, targets, 0)] += 1
    assert chosen["empty"] <= targets[-1].concurrency
    assert chosen.total() == 4 * len(ENTRIES)


def _complete(
    router: routing.Router, name: str, ms_per_token: int, now_ms: int
) -> int:
    """Completes a request of 150 tokens; returns the time of its end."""
    request_id = model.RequestId(name)
    router.first_token(request_id, now_ms)
    now_ms += 150 * ms_per_token
    router.tokens(request_id, 150, now_ms)
    router.ended(request_id, routing.AttemptOutcome.COMPLETED, now_ms)
    return now_ms


def test_straggler_is_avoided_and_probed_until_it_recovers() -> None:
    router = _router()
    targets = [_target(f"t{i}") for i in range(4)]
    slow, now_ms = "t0", 0
    for index in range(12):
        others = frozenset(f"t{i}" for i in range(4) if i != index % 4)
        query = _query(f"warm-{index}", excluded=others)
        name = _send(router, query, targets, now_ms)
        ms_per_token = 80 if name == slow else 16
        now_ms = _complete(router, f"warm-{index}", ms_per_token, now_ms)
    router.choose(_query("compare"), targets, now_ms + 300)
    assert router.avoided(model.ServiceName("s"), now_ms + 300) == {slow}
    # Requests on reserved capacity avoid the straggler; one on borrowed
    # capacity probes it after a pause.
    now_ms += 10_000
    ordinary = _send(router, _query("ordinary", priority=0), targets, now_ms)
    assert ordinary != slow
    assert _send(router, _query("probe"), targets, now_ms) == slow
    assert _send(router, _query("next"), targets, now_ms) != slow
    for index in range(6):
        probe = "probe" if index == 0 else f"probe-{index}"
        if index:
            others = frozenset({"t1", "t2", "t3"})
            query = _query(probe, excluded=others)
            assert _send(router, query, targets, now_ms) == slow
        now_ms = _complete(router, probe, 16, now_ms)
    router.choose(_query("compare-again"), targets, now_ms + 300)
    assert slow not in router.avoided(model.ServiceName("s"), now_ms + 300)


def test_failed_target_is_avoided_then_used_again() -> None:
    router = _router()
    targets = [_target("a"), _target("b")]
    failed = _send(router, _query("r1"), targets, 0)
    outcome = routing.AttemptOutcome.CONNECT_FAILED
    router.ended(model.RequestId("r1"), outcome, 1)
    names = {_send(router, _query(f"x{i}"), targets, 2) for i in range(8)}
    assert failed not in names
    later = {_send(router, _query(f"y{i}"), targets, 1_500) for i in range(9)}
    assert failed in later


def test_cached_prefix_is_preferred_until_hints_are_cleared() -> None:
    router = _router()
    targets = [_target(f"t{i}", running=2) for i in range(6)]
    query = _query("r", prefix=(1, 2, 3, 4))
    default = router.choose(query, targets, 0)
    assert default is not None
    cached = next(t for t in targets if t is not default)
    router.update_cache_hints(cached.target_id, [1, 2, 3, 4], [])
    assert router.choose(query, targets, 0) == cached
    router.clear_cache_hints(cached.target_id)
    assert router.choose(query, targets, 0) == default


def test_new_incarnation_does_not_inherit_failures() -> None:
    router = _router()
    target = _target("a")
    _send(router, _query("r1"), [target], 0)
    router.ended(model.RequestId("r1"), routing.AttemptOutcome.LOST, 1)
    both = [dataclasses.replace(target, incarnation="2"), _target("b", 8)]
    assert _send(router, _query("r2"), both, 2) == "a"


@given(seed=st.integers(0, 10_000), count=st.integers(1, 40))
def test_entries_agree_on_one_home_per_target(seed: int, count: int) -> None:
    random_ = random.Random(seed)
    targets = [_target(f"t{i}", running=8) for i in range(count)]
    random_.shuffle(targets)
    isolated = dataclasses.replace(_query("r"), isolated=True)
    homes: list[set[str]] = []
    for node in ENTRIES:
        router = _router(node)
        names = set()
        for index in range(count):
            query = dataclasses.replace(
                isolated, request_id=model.RequestId(f"r{index}")
            )
            names.add(_send(router, query, targets, 0))
        homes.append(names)
    if count >= len(ENTRIES):
        assert sum(len(names) for names in homes) == count
        assert set.union(*homes) == {t.target_id for t in targets}


@pytest.mark.parametrize(
    ("unresponsive", "moved"),
    [
        pytest.param(["e2"], True, id="one-of-three-absent"),
        pytest.param(["e1", "e2"], False, id="partitioned-from-majority"),
    ],
)
def test_targets_of_absent_entries_get_new_homes_unless_partitioned(
    unresponsive: list[str], moved: bool
) -> None:
    router = _router()
    targets = [_target(f"t{i}", running=8) for i in range(9)]

    def homes(now_ms: int) -> set[str]:
        names = set()
        for index in range(9):
            query = _query(f"{now_ms}-{index}")
            query = dataclasses.replace(query, isolated=True)
            names.add(_send(router, query, targets, now_ms))
            outcome = routing.AttemptOutcome.CANCELLED
            router.ended(query.request_id, outcome, now_ms)
            excluded = frozenset(names)
            query = dataclasses.replace(query, excluded=excluded)
            target = router.choose(query, targets, now_ms)
            if target is None:
                return names
            names.add(target.target_id)
        return names

    before = homes(0)
    assert len(before) == 3
    router.set_unresponsive_entries(
        [model.NodeId(name) for name in unresponsive]
    )
    router.choose(_query("first-refresh"), targets, 1_000)
    router.choose(_query("second-refresh"), targets, 5_000)
    after = homes(5_600)
    assert before <= after
    assert (len(after) > len(before)) is moved
