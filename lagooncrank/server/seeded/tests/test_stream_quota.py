"""Limits on one run of a stream."""

import pytest

from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _stream_quota

READ_BYTES = 8_192


# Guards against streams that hold memory or a connection without end.
@pytest.mark.parametrize(
    ("events", "grows", "limit_bytes"),
    [
        (0, True, _stream_quota.MAX_EVENT_BYTES),
        (0, False, _stream_quota.MAX_STREAM_BYTES),
        (1_024, False, READ_BYTES * _stream_quota.MAX_EVENTS // 1_024),
    ],
    ids=["single-event", "bytes", "events"],
)
def test_stream_ends_at_its_limit(
    events: int, grows: bool, limit_bytes: int
) -> None:
    buffers = _buffer_budget.BufferBudget.of_memory(200)
    quota = _stream_quota.StreamQuota(buffers.open())
    read_bytes = 0
    while read_bytes < limit_bytes:
        read_bytes += READ_BYTES
        quota.record(READ_BYTES, events, read_bytes if grows else 0)
    partial_bytes = read_bytes + READ_BYTES if grows else 0
    with pytest.raises(_attempt.AttemptFailedError) as caught:
        quota.record(READ_BYTES, events, partial_bytes)
    assert caught.value.failure is _attempt.FailureKind.TOO_LARGE
    assert caught.value.may_have_run


def test_incomplete_events_share_the_memory_of_all_responses() -> None:
    buffers = _buffer_budget.BufferBudget(max_bytes=3 * READ_BYTES)
    quotas = [_stream_quota.StreamQuota(buffers.open()) for _ in range(2)]
    quotas[0].record(READ_BYTES, 0, READ_BYTES)
    with pytest.raises(_attempt.AttemptFailedError):
        quotas[1].record(2 * READ_BYTES, 0, 2 * READ_BYTES)
    quotas[1].record(READ_BYTES, 0, READ_BYTES)
