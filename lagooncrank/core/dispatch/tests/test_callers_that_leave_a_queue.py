"""Callers abandon a stream that has no event for a while.

A request that is held longer is lost: its caller has left, and its last retry
with it. Refused in time, the caller comes back while the deadline allows.
"""

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import dispatch


def route(
    kind: model.RequestKind, target_ms: int = 300, gap_ms: int = 300
) -> model.Route:
    return model.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        timeout_ms=8_000,
        target_latency_ms=target_ms,
        splits=(),
        max_event_gap_ms=gap_ms,
    )


@pytest.mark.parametrize(
    ("target_ms", "gap_ms", "remaining_ms", "expected_ms"),
    [
        pytest.param(200, 200, 5_000, 1_000, id="shortest-patience"),
        pytest.param(300, 300, 8_000, 1_200, id="gap-decides"),
        pytest.param(700, 300, 8_000, 1_400, id="latency-target-decides"),
        pytest.param(300, 300, 900, 450, id="deadline-decides"),
        pytest.param(300, 300, -5, 0, id="deadline-has-passed"),
    ],
)
def test_stream_is_refused_before_its_caller_leaves(
    target_ms: int, gap_ms: int, remaining_ms: int, expected_ms: int
) -> None:
    stream = route(model.RequestKind.STREAM, target_ms, gap_ms)
    assert dispatch.queue_limit_ms(stream, remaining_ms) == expected_ms


def test_other_requests_wait_by_their_deadline_only() -> None:
    idempotent = route(model.RequestKind.IDEMPOTENT)
    assert dispatch.queue_limit_ms(idempotent, 8_000) == 4_000


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.sampled_from(list(model.RequestKind)),
    strategies.integers(0, 5_000),
    strategies.integers(0, 5_000),
    strategies.integers(-100, 60_000),
)
def test_limit_leaves_time_for_a_retry(
    kind: model.RequestKind, target_ms: int, gap_ms: int, remaining_ms: int
) -> None:
    limited = route(kind, target_ms, gap_ms)
    limit_ms = dispatch.queue_limit_ms(limited, remaining_ms)
    assert 0 <= limit_ms <= max(remaining_ms, 0) / 2
    if kind is model.RequestKind.STREAM:
        assert limit_ms <= dispatch.stream_patience_ms(limited) / 2
