"""The newest statement about a limit counts, wherever it was heard."""

import pytest

from lagooncrank import model
from lagooncrank.core import limits

PROCESS = (model.BackendServerId("s1"), 7)
RESTARTED = (model.BackendServerId("s1"), 8)


def rate(rate_per_s: float) -> limits.StatedLimit:
    return limits.StatedLimit(limits.LimitKind.RATE, rate_per_s)


def limited_table() -> limits.LimitTable:
    """Returns a table with a limit of 2/s that was stated at 1,000 ms."""
    table = limits.LimitTable()
    assert table.record_response(PROCESS, rate(2.0), 900, 1_000)
    return table


@pytest.mark.parametrize(
    ("stated", "sent_ms", "head_ms", "expected"),
    [
        (rate(1.0), 1_100, 1_200, 1.0),
        # Overtaken on the way.
        (rate(1.0), 800, 990, 2.0),
        (limits.UNLIMITED, 1_100, 1_200, None),
        # Begun before the limit was stated: a long stream, or a late head.
        (limits.UNLIMITED, 950, 1_200, 2.0),
        (limits.INVALID, 1_100, 1_200, 2.0),
        (rate(0.0), 1_100, 1_200, 0.0),
    ],
)
def test_newest_statement_counts(
    stated: limits.StatedLimit,
    sent_ms: int,
    head_ms: int,
    expected: float | None,
) -> None:
    table = limited_table()
    has_changed = table.record_response(PROCESS, stated, sent_ms, head_ms)
    assert table.rate_per_s(PROCESS) == expected
    assert has_changed is (expected != 2.0)


def test_restarted_server_has_no_limit_until_it_states_one() -> None:
    table = limited_table()
    assert table.rate_per_s(RESTARTED) is None
    assert table.limited == {PROCESS: 2.0}


# Guards against: a server stated a limit before the first report of its process
# and was without one from that report until its next response.
@pytest.mark.parametrize(
    ("started_ms", "expected"),
    [
        pytest.param(400, 2.0, id="may-have-stated-it"),
        pytest.param(1_000, 2.0, id="just-started"),
        pytest.param(1_001, None, id="started-later"),
    ],
)
def test_new_process_has_the_limit_that_it_may_have_stated(
    started_ms: int, expected: float | None
) -> None:
    table = limited_table()
    assert table.adopt(RESTARTED, started_ms) is (expected is not None)
    assert table.rate_per_s(RESTARTED) == expected
    assert not table.adopt(RESTARTED, started_ms)


def test_process_that_is_known_adopts_nothing() -> None:
    table = limited_table()
    table.record_response(RESTARTED, rate(9.0), 900, 950)
    assert not table.adopt(RESTARTED, 0)
    assert not table.adopt((model.BackendServerId("s2"), 8), 0)
    assert table.limited == {PROCESS: 2.0, RESTARTED: 9.0}


def test_responses_without_a_limit_take_no_memory() -> None:
    table = limits.LimitTable()
    assert not table.record_response(PROCESS, limits.UNLIMITED, 900, 1_000)
    assert not table.all_reports(1_000).reports


def test_reports_in_any_order_lead_to_the_same_limits() -> None:
    stated = limited_table().all_reports(1_500).reports
    later = limited_table()
    later.record_response(PROCESS, limits.UNLIMITED, 1_200, 1_300)
    withdrawn = later.all_reports(1_500).reports
    for batches in ((stated, withdrawn), (withdrawn, stated)):
        table = limits.LimitTable()
        for reports in batches:
            table.merge(reports, 9_000, is_relay=False)
        assert table.rate_per_s(PROCESS) is None


def test_relay_passes_on_what_is_new_once() -> None:
    entry = limited_table()
    sent = entry.pop_unsent(1_010)
    assert len(sent.reports) == 1
    assert not entry.pop_unsent(1_020).reports
    relay = limits.LimitTable()
    assert relay.merge(sent.reports, 2_000, is_relay=True) == [PROCESS]
    assert relay.pop_unsent(2_010).reports
    assert relay.merge(sent.reports, 2_020, is_relay=True) == []
    assert not relay.pop_unsent(2_030).reports
    other = limits.LimitTable()
    other.merge(sent.reports, 2_000, is_relay=False)
    assert not other.pop_unsent(2_010).reports


def test_memory_is_bounded_and_old_limits_expire() -> None:
    table = limits.LimitTable()
    for number in range(limits.MAX_PROCESSES + 10):
        process = (model.BackendServerId(f"s{number}"), 1)
        table.record_response(process, rate(1.0), 0, 10 + number)
    assert len(table.limited) == limits.MAX_PROCESSES
    table.evict_expired(limits.LIMIT_TTL_MS + limits.MAX_PROCESSES + 20)
    assert not table.limited
