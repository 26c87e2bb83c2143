"""When a node without a disk leaves the node that it follows."""

import itertools

from lagooncrank import model
from lagooncrank.core.consensus import _polling
from lagooncrank.core.consensus import _relay

CUT_OFF = model.NodeId("cut-off")
OTHER = model.NodeId("other")
#: The shortest time within which a deployment wants a change in force on
#: entries, counted from a cut.
LIMIT_MS = 2_000


def reply(sent_ms: int, contact_age_ms: int) -> _relay.PollReply:
    return _relay.PollReply(sent_ms, contact_age_ms, 1, CUT_OFF, 1, ())


def test_upstream_without_a_quorum_is_left_before_a_change_is_overdue() -> None:
    """A leader cut off from the other voters still answers its followers."""
    poller = _polling.Poller((CUT_OFF, OTHER))
    left_ms = None
    for now_ms in range(0, 5_000, 50):
        if poller.is_due(now_ms, urgent=False):
            poller.on_reply(CUT_OFF, reply(now_ms, now_ms), now_ms)
        if left_ms is None and poller.upstream != CUT_OFF:
            left_ms = now_ms
    assert left_ms is not None
    assert left_ms < LIMIT_MS


def test_upstream_that_itself_follows_is_kept() -> None:
    """Its contact is as old as its own poll of the leader."""
    poller = _polling.Poller((CUT_OFF, OTHER))
    for now_ms in range(0, 10_000, 50):
        if poller.is_due(now_ms, urgent=False):
            age_ms = 200 + now_ms % _polling.POLL_INTERVAL_MS
            poller.on_reply(CUT_OFF, reply(now_ms, age_ms), now_ms)
        assert poller.upstream == CUT_OFF


def test_node_that_never_heard_of_a_quorum_asks_often() -> None:
    """After a loss of power it starts first, and its first polls are lost."""
    poller = _polling.Poller((CUT_OFF, OTHER))
    polls = [t for t in range(0, 2_000, 50) if poller.is_due(t, urgent=False)]
    gaps_ms = [b - a for a, b in itertools.pairwise(polls)]
    assert max(gaps_ms) <= _polling.INITIAL_POLL_INTERVAL_MS


def test_node_that_heard_of_a_quorum_asks_seldom() -> None:
    poller = _polling.Poller((CUT_OFF, OTHER))
    polls = 0
    for now_ms in range(0, 5_000, 50):
        if poller.is_due(now_ms, urgent=False):
            polls += 1
            poller.on_reply(CUT_OFF, reply(now_ms, 10), now_ms)
    assert polls <= 5_000 / _polling.POLL_INTERVAL_MS + 1
