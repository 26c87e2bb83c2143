import pytest

from lagooncrank import model
from lagooncrank.core import retry
from lagooncrank.core import streams
from lagooncrank.server import _token_batches

REQUEST = model.RequestId("r1")


def event(offset: int, *tokens: str, done: bool = False) -> streams.EngineEvent:
    return streams.EngineEvent(REQUEST, offset, tokens, done, "length")


@pytest.mark.parametrize(
    ("events", "text", "finish_reason", "kind"),
    [
        pytest.param(
            [event(0, "a"), event(1, "b", done=True)],
            "ab",
            "length",
            None,
            id="complete",
        ),
        pytest.param([event(0, "a"), event(1)], "a", "", None, id="not_ended"),
        pytest.param(
            [event(0, "a"), event(0, "a"), event(1, "b")],
            "a",
            "",
            retry.FailureKind.PROTOCOL_ERROR,
            id="tokens_before_a_repeat_are_relayed",
        ),
        pytest.param(
            [event(0, "a", done=True), event(1, "b")],
            "a",
            "length",
            retry.FailureKind.PROTOCOL_ERROR,
            id="end_is_kept_before_an_invalid_event",
        ),
        pytest.param(
            [streams.EngineEvent(REQUEST, 0, error="out of memory")],
            "",
            "",
            retry.FailureKind.CONNECTION_LOST,
            id="engine_error",
        ),
    ],
)
def test_batch(
    events: list[streams.EngineEvent],
    text: str,
    finish_reason: str,
    kind: retry.FailureKind | None,
) -> None:
    progress = streams.CompletionProgress(REQUEST)
    batch = _token_batches.accept_events(
        progress, progress.begin_attempt(), events
    )
    assert (batch.text, batch.tokens) == (text, len(text))
    assert progress.token_count == len(text)
    assert (batch.failure.kind if batch.failure else None) is kind
    assert batch.finish_reason == finish_reason


def test_late_events_are_dropped() -> None:
    progress = streams.CompletionProgress(REQUEST)
    late = progress.begin_attempt()
    progress.begin_attempt()
    batch = _token_batches.accept_events(progress, late, [event(0, "a")])
    assert (batch.tokens, batch.failure) == (0, None)
