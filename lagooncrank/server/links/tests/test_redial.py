"""How soon a peer that could not be reached is dialled again."""

import pytest

from lagooncrank.server.links import _redial

TIMING = _redial.RedialTiming()
#: Time within which a node without any link must find a peer that came back.
ALONE_LIMIT_MS = 250
REFUSED_AT_ONCE_MS = 1


@pytest.mark.parametrize("failures", range(1, 12))
def test_node_without_any_link_dials_often(failures: int) -> None:
    """After a loss of power entries run before any control node does."""
    redial = _redial.Redial(TIMING)
    for _ in range(failures):
        wait_ms = redial.wait_ms(REFUSED_AT_ONCE_MS, has_links=False)
    assert 0 < wait_ms <= ALONE_LIMIT_MS


def test_node_with_other_links_dials_a_lost_peer_ever_more_seldom() -> None:
    redial = _redial.Redial(TIMING)
    waits_ms = [
        redial.wait_ms(REFUSED_AT_ONCE_MS, has_links=True) for _ in range(10)
    ]
    assert waits_ms == sorted(waits_ms)
    assert waits_ms[-1] == TIMING.max_ms


def test_link_that_lasted_is_dialled_again_at_once() -> None:
    redial = _redial.Redial(TIMING)
    for _ in range(10):
        redial.wait_ms(REFUSED_AT_ONCE_MS, has_links=True)
    lasted_ms = TIMING.lasting_ms + 1
    assert redial.wait_ms(lasted_ms, has_links=True) == TIMING.min_ms
