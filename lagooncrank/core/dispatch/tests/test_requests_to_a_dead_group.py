"""A group fails while requests keep being sent to its head.

The streams that had begun show the failure first. Requests that were sent
since must not delay its detection: they would time out one after the other.
"""

import pytest

from lagooncrank.core import dispatch
from lagooncrank.core.dispatch import _progress

HEAD = "head"
FAILED_MS = 10_000
REQUEST_INTERVAL_MS = 200
CHECK_INTERVAL_MS = 50


def detection_ms(begun_streams: int, events_go_on: bool = False) -> int | None:
    """Returns the time from the failure until the head counts as stalled."""
    progress = dispatch.StreamProgress()
    for stream in range(begun_streams):
        progress.begin(HEAD, stream, FAILED_MS - 500)
        progress.record_event(HEAD, stream, FAILED_MS, FAILED_MS)
    for passed_ms in range(0, 3_000, CHECK_INTERVAL_MS):
        now_ms = FAILED_MS + passed_ms
        if passed_ms % REQUEST_INTERVAL_MS == 0:
            progress.begin(HEAD, 100 + passed_ms, now_ms)
        if events_go_on:
            progress.record_event(HEAD, 0, now_ms, now_ms)
        if HEAD in progress.stalled(now_ms):
            return passed_ms
    return None


@pytest.mark.parametrize("begun_streams", [1, 5])
def test_new_requests_do_not_hide_that_all_streams_have_stalled(
    begun_streams: int,
) -> None:
    assert detection_ms(begun_streams) == _progress.EVENT_STALL_MS


def test_stream_that_goes_on_shows_that_its_head_works() -> None:
    assert detection_ms(5, events_go_on=True) is None


def test_waiting_requests_alone_are_given_more_time() -> None:
    progress = dispatch.StreamProgress()
    progress.begin(HEAD, 1, 0)
    limit_ms = _progress.FIRST_EVENT_STALL_MS
    assert not progress.stalled(limit_ms - 1)
    assert progress.stalled(limit_ms) == {HEAD}
