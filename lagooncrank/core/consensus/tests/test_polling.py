"""Poll intervals and upstream changes of a node without a disk."""

import itertools

from lagooncrank import model
from lagooncrank.core.consensus import _polling
from lagooncrank.core.consensus import _relay

UPSTREAM = model.NodeId("upstream")
OTHER_UPSTREAM = model.NodeId("other")
#: Shortest limit that a deployment sets on the time for a change to take effect
#: on entries, counted from the start of a network partition.
PROPAGATION_LIMIT_MS = 2_000


def reply(sent_ms: int, contact_age_ms: int) -> _relay.PollReply:
    return _relay.PollReply(sent_ms, contact_age_ms, 1, UPSTREAM, 1, ())


def test_upstream_without_quorum_is_replaced_before_the_propagation_limit() -> (
    None
):
    """A leader cut off from the other voters still answers its followers."""
    poller = _polling.Poller((UPSTREAM, OTHER_UPSTREAM))
    switched_ms = None
    for now_ms in range(0, 5_000, 50):
        if poller.is_due(now_ms, urgent=False):
            poller.on_reply(UPSTREAM, reply(now_ms, now_ms), now_ms)
        if switched_ms is None and poller.upstream != UPSTREAM:
            switched_ms = now_ms
    assert switched_ms is not None
    assert switched_ms < PROPAGATION_LIMIT_MS


def test_upstream_that_is_itself_a_follower_is_kept() -> None:
    """The contact age it reports includes the age of its own last poll."""
    poller = _polling.Poller((UPSTREAM, OTHER_UPSTREAM))
    for now_ms in range(0, 10_000, 50):
        if poller.is_due(now_ms, urgent=False):
            age_ms = 200 + now_ms % _polling.POLL_INTERVAL_MS
            poller.on_reply(UPSTREAM, reply(now_ms, age_ms), now_ms)
        assert poller.upstream == UPSTREAM


def test_node_without_quorum_contact_polls_at_the_initial_interval() -> None:
    """After a power loss, a node may start before its upstreams.

    Its first polls are then lost.
    """
    poller = _polling.Poller((UPSTREAM, OTHER_UPSTREAM))
    polls = [t for t in range(0, 2_000, 50) if poller.is_due(t, urgent=False)]
    gaps_ms = [b - a for a, b in itertools.pairwise(polls)]
    assert max(gaps_ms) <= _polling.INITIAL_POLL_INTERVAL_MS


def test_node_with_quorum_contact_polls_at_the_normal_interval() -> None:
    poller = _polling.Poller((UPSTREAM, OTHER_UPSTREAM))
    polls = 0
    for now_ms in range(0, 5_000, 50):
        if poller.is_due(now_ms, urgent=False):
            polls += 1
            poller.on_reply(UPSTREAM, reply(now_ms, 10), now_ms)
    assert polls <= 5_000 / _polling.POLL_INTERVAL_MS + 1
