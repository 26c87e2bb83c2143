"""Servers that stand still, as one entry and the others see it."""

from lagooncrank.server.seeded import _stalls


def test_server_begins_to_stall_once() -> None:
    stalls = _stalls.Stalls(now_ms=0)
    stalls.progress.begin("head", 1, 0)
    stalls.progress.record_event("head", 1, 0)
    seen = [stalls.watch(now_ms) for now_ms in range(50, 600, 50)]
    assert [b for b in seen if b] == [{"head"}]
    assert stalls.known(600) == {"head"}


def test_own_pause_makes_nothing_stall() -> None:
    stalls = _stalls.Stalls(now_ms=0)
    stalls.progress.begin("head", 1, 0)
    stalls.progress.record_event("head", 1, 0)
    assert not stalls.watch(3_000)
    assert not stalls.known(3_000)


def test_word_of_others_counts_for_a_while() -> None:
    stalls = _stalls.Stalls(now_ms=0)
    assert stalls.hear(("head",), 100) == {"head"}
    assert not stalls.hear(("head",), 400)
    assert stalls.known(400) == {"head"}
    assert not stalls.known(100 + _stalls.TRUST_STALL_MS)


def test_listeners_hear_of_new_stalls_alone() -> None:
    stalls = _stalls.Stalls(now_ms=0)
    heard: list[frozenset[str]] = []
    stalls.listeners.append(heard.append)
    stalls.tell(frozenset())
    stalls.tell(frozenset({"head"}))
    assert heard == [{"head"}]
