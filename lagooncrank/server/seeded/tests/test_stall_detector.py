"""Detection of stalled servers by one entry and by others."""

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.server.seeded import _stall_detector


def test_stall_is_returned_once() -> None:
    stall_detector = _stall_detector.StallDetector()
    stall_detector.progress.begin("head", 1, 0)
    stall_detector.progress.record_event("head", 1, 0, 0)
    seen = [
        stall_detector.check_streams(observed_ms)
        for observed_ms in range(50, 600, 50)
    ]
    assert [s for s in seen if s] == [{"head"}]
    assert stall_detector.stalled_servers(600) == {"head"}


def test_pause_of_this_process_is_no_stall() -> None:
    clock = clocks.ManualClock()
    observed_clock = observed_time.ObservedClock(clock)
    stall_detector = _stall_detector.StallDetector()
    stall_detector.progress.begin("head", 1, 0)
    stall_detector.progress.record_event("head", 1, 0, 0)
    clock.advance(3_000)
    assert not stall_detector.check_streams(observed_clock.now_ms())
    assert not stall_detector.stalled_servers(3_000)


def test_reports_of_other_entries_expire() -> None:
    stall_detector = _stall_detector.StallDetector()
    assert stall_detector.update_remote(("head",), 100) == {"head"}
    assert not stall_detector.update_remote(("head",), 400)
    assert stall_detector.stalled_servers(400) == {"head"}
    assert not stall_detector.stalled_servers(
        100 + _stall_detector.REMOTE_STALL_TTL_MS
    )


def test_listeners_are_called_for_new_stalls_only() -> None:
    stall_detector = _stall_detector.StallDetector()
    notified: list[frozenset[str]] = []
    stall_detector.listeners.append(notified.append)
    stall_detector.notify(frozenset())
    stall_detector.notify(frozenset({"head"}))
    assert notified == [{"head"}]


def test_server_is_suspected_for_a_while_after_a_timeout() -> None:
    """Requests time out before they count as stalled if targets are short.

    A head without streams in progress would otherwise never be probed.
    """
    stall_detector = _stall_detector.StallDetector()
    stall_detector.record_timeout("head", 800)
    expires_ms = 800 + _stall_detector.SUSPICION_MS
    assert stall_detector.suspected(expires_ms - 1) == {"head"}
    assert not stall_detector.suspected(expires_ms)
    assert not stall_detector.stalled_servers(900)
