"""Permits accumulate at the rate and go to entries in turns."""

from lagooncrank import model
from lagooncrank.core import limits

PROCESS = (model.BackendServerId("s1"), 7)
FIRST, SECOND = model.NodeId("n1"), model.NodeId("n2")


def request(
    issuer: limits.PermitIssuer,
    entry: model.NodeId,
    now_ms: int,
    count: int = 1,
    rate_per_s: float = 2.0,
) -> list[tuple[model.NodeId, int, int]]:
    """Returns entry, permits and waiting time of each response."""
    issued = issuer.request(entry, PROCESS, rate_per_s, count, 500, now_ms)
    return [(i.entry, i.grant.count, i.grant.wait_ms) for i in issued]


def collect(
    issuer: limits.PermitIssuer, now_ms: int
) -> list[tuple[model.NodeId, int]]:
    issued = issuer.collect({PROCESS: 2.0}, now_ms)
    return [(i.entry, i.grant.count) for i in issued]


def test_first_permit_comes_at_once_and_the_next_at_the_rate() -> None:
    issuer = limits.PermitIssuer()
    assert request(issuer, FIRST, 0) == [(FIRST, 1, 500)]
    assert request(issuer, FIRST, 10) == [(FIRST, 0, 490)]
    assert collect(issuer, 490) == []
    assert collect(issuer, 500) == [(FIRST, 1)]
    assert not issuer.has_waiting


def test_entries_are_served_in_the_order_of_their_requests() -> None:
    issuer = limits.PermitIssuer()
    request(issuer, FIRST, 0)
    request(issuer, SECOND, 10)
    # A second request of the same entry keeps its turn.
    assert request(issuer, FIRST, 20) == [(FIRST, 0, 980)]
    request(issuer, SECOND, 30)
    assert collect(issuer, 510) == [(SECOND, 1)]


def test_request_lapses_when_its_time_is_over() -> None:
    issuer = limits.PermitIssuer()
    request(issuer, FIRST, 0)
    request(issuer, FIRST, 0)
    assert collect(issuer, 501) == []
    assert not issuer.has_waiting


def test_requests_for_a_withdrawn_limit_are_dropped() -> None:
    issuer = limits.PermitIssuer()
    request(issuer, FIRST, 0)
    request(issuer, FIRST, 0)
    assert not list(issuer.collect({}, 100))
    assert not issuer.has_waiting


def test_unused_permits_do_not_accumulate() -> None:
    issuer = limits.PermitIssuer()
    request(issuer, FIRST, 0)
    responses = request(issuer, FIRST, 60_000, count=50, rate_per_s=40.0)
    assert responses == [(FIRST, 11, 25)]


# Guards against: a server that takes no requests is never asked again.
def test_server_that_takes_none_gets_one_now_and_then() -> None:
    issuer = limits.PermitIssuer()
    assert request(issuer, FIRST, 0, rate_per_s=0.0)[0][1] == 1
    late_ms = limits.PROBE_INTERVAL_MS
    assert request(issuer, FIRST, late_ms - 1, rate_per_s=0.0)[0][1] == 0
    assert request(issuer, FIRST, late_ms, rate_per_s=0.0)[0][1] == 1


# Guards against: all entries that lose the control nodes send at that moment.
def test_entries_that_issue_for_themselves_do_not_begin_together() -> None:
    issuers = [limits.PermitIssuer.for_one_of(83) for _ in range(83)]
    first = [request(issuer, FIRST, 0, rate_per_s=1.4) for issuer in issuers]
    assert all(count == 0 for [(_, count, _)] in first)


def test_unused_buckets_are_removed() -> None:
    issuer = limits.PermitIssuer()
    request(issuer, FIRST, 0)
    issuer.evict_unused(60_000)
    assert request(issuer, FIRST, 60_000) == [(FIRST, 1, 500)]
