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
def test_fault_leaves_the_answer_as_it_was(
    attempt: int, received: streams.EngineEvent, kind: streams.RejectionKind
) -> None:
    progress = streams.CompletionProgress(REQUEST)
    progress.accept(progress.begin_attempt(), event(0, "a", "b"))
    progress.begin_attempt()
    fault = progress.accept(attempt, received).failure()
    assert fault.kind is kind
    assert progress.resume_from() == ("a", "b")


def test_nothing_follows_the_end() -> None:
    progress = streams.CompletionProgress(REQUEST)
    attempt = progress.begin_attempt()
    progress.accept(attempt, event(0, "a", done=True))
    fault = progress.accept(attempt, event(1, "b")).failure()
    assert progress.done
    assert fault.kind is streams.RejectionKind.AFTER_END


@hypothesis.given(
    answer=st.lists(st.text(max_size=3), max_size=30),
    cuts=st.lists(st.integers(0, 30), max_size=6),
    noise=st.lists(st.tuples(st.integers(0, 6), st.integers(0, 40))),
)
def test_caller_receives_each_token_once_over_any_attempts(
    answer: list[str], cuts: list[int], noise: list[tuple[int, int]]
) -> None:
    progress = streams.CompletionProgress(REQUEST)
    received: list[str] = []
    for cut in [*sorted(cuts), len(answer)]:
        attempt = progress.begin_attempt()
        for late, offset in noise:
            wrong = event(offset, "noise")
            if late != attempt or offset != progress.token_count:
                received += progress.accept(late, wrong).value_or(())
        start = progress.token_count
        tokens = answer[start : max(start, min(cut, len(answer)))]
        received += progress.accept(attempt, event(start, *tokens)).unwrap()
    assert received == answer
