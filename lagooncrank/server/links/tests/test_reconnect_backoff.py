"""Tests of the backoff between attempts to reconnect to a peer."""

import pytest

from lagooncrank.server.links import _reconnect_backoff

TIMING = _reconnect_backoff.ReconnectTiming()
#: Longest time that a node without any link may need to notice that a peer is
#: reachable again.
ISOLATED_LIMIT_MS = 250
REFUSED_ATTEMPT_MS = 1


@pytest.mark.parametrize("failures", range(1, 12))
def test_node_without_any_link_waits_briefly(failures: int) -> None:
    """After a power loss, entries may start before any control node."""
    backoff = _reconnect_backoff.ReconnectBackoff(TIMING)
    for _ in range(failures):
        wait_ms = backoff.wait_ms(REFUSED_ATTEMPT_MS, has_links=False)
    assert 0 < wait_ms <= ISOLATED_LIMIT_MS


def test_node_with_other_links_backs_off_to_the_longest_wait() -> None:
    backoff = _reconnect_backoff.ReconnectBackoff(TIMING)
    waits_ms = [
        backoff.wait_ms(REFUSED_ATTEMPT_MS, has_links=True) for _ in range(10)
    ]
    assert waits_ms == sorted(waits_ms)
    assert waits_ms[-1] == TIMING.max_wait_ms


def test_wait_is_reset_after_a_stable_link() -> None:
    backoff = _reconnect_backoff.ReconnectBackoff(TIMING)
    for _ in range(10):
        backoff.wait_ms(REFUSED_ATTEMPT_MS, has_links=True)
    link_lifetime_ms = TIMING.stable_link_ms + 1
    assert (
        backoff.wait_ms(link_lifetime_ms, has_links=True) == TIMING.min_wait_ms
    )
