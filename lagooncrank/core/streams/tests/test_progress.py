import hypothesis
from hypothesis import strategies as st
import pytest

from lagooncrank import model
from lagooncrank.core import streams

REQUEST = model.RequestId("r1")
OTHER = model.RequestId("r2")


def event(offset: int, *tokens: str, done: bool = False) -> streams.EngineEvent:
    return streams.EngineEvent(REQUEST, offset, tokens, done)


@pytest.mark.parametrize(
    ("attempt", "received", "kind"),
    [
        pytest.param(1, event(2, "x"), streams.RejectionKind.LATE, id="late"),
        pytest.param(2, event(3, "x"), streams.RejectionKind.GAP, id="gap"),
        pytest.param(
            2, event(1, "b"), streams.RejectionKind.REPEAT, id="repeat"
        ),
        pytest.param(
            2,
            streams.EngineEvent(OTHER, 2, ("x",)),
            streams.RejectionKind.OTHER_REQUEST,
            id="other_request",
        ),
        pytest.param(
            2,
            streams.EngineEvent(REQUEST, 2, error="out of memory"),
            streams.RejectionKind.ENGINE_ERROR,
            id="engine_error",
        ),
    ],
)
def test_rejected_event_does_not_change_the_tokens(
    attempt: int, received: streams.EngineEvent, kind: streams.RejectionKind
) -> None:
    progress = streams.CompletionProgress(REQUEST)
    progress.accept(progress.begin_attempt(), event(0, "a", "b"))
    progress.begin_attempt()
    rejection = progress.accept(attempt, received).failure()
    assert rejection.kind is kind
    assert progress.resume_from() == ("a", "b")


def test_events_after_the_last_one_are_rejected() -> None:
    progress = streams.CompletionProgress(REQUEST)
    attempt = progress.begin_attempt()
    progress.accept(attempt, event(0, "a", done=True))
    rejection = progress.accept(attempt, event(1, "b")).failure()
    assert progress.done
    assert rejection.kind is streams.RejectionKind.AFTER_END


@hypothesis.given(
    completion=st.lists(st.text(max_size=3), max_size=30),
    attempt_ends=st.lists(st.integers(0, 30), max_size=6),
    invalid_events=st.lists(st.tuples(st.integers(0, 6), st.integers(0, 40))),
)
def test_each_token_is_accepted_once_across_attempts(
    completion: list[str],
    attempt_ends: list[int],
    invalid_events: list[tuple[int, int]],
) -> None:
    progress = streams.CompletionProgress(REQUEST)
    received: list[str] = []
    for attempt_end in [*sorted(attempt_ends), len(completion)]:
        attempt = progress.begin_attempt()
        for event_attempt, offset in invalid_events:
            invalid_event = event(offset, "noise")
            if event_attempt != attempt or offset != progress.token_count:
                received += progress.accept(
                    event_attempt, invalid_event
                ).value_or(())
        start = progress.token_count
        tokens = completion[
            start : max(start, min(attempt_end, len(completion)))
        ]
        received += progress.accept(attempt, event(start, *tokens)).unwrap()
    assert received == completion
