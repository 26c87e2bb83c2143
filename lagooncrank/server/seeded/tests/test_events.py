"""Event ids that backend servers send in any form."""

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank.server.seeded import _events


@pytest.mark.parametrize(
    ("raw_id", "expected"),
    [
        (b"7", 7),
        (b"", None),
        (b"-1", None),
        (b"abc", None),
        (b"9" * 5_000, None),
    ],
)
def test_id_of_an_event(raw_id: bytes, expected: int | None) -> None:
    splitter = _events.EventSplitter()
    events = list(splitter.feed(b"id: " + raw_id + b"\ndata: x\n\n"))
    assert [e.event_id for e in events] == [expected]


@hypothesis.settings(derandomize=True, max_examples=1_000)
@hypothesis.given(strategies.lists(strategies.binary(max_size=30), max_size=5))
def test_no_byte_of_a_stream_is_lost_or_added(chunks: list[bytes]) -> None:
    splitter = _events.EventSplitter()
    events = [e.raw for chunk in chunks for e in splitter.feed(chunk)]
    passed_on = b"".join(events)
    received = b"".join(chunks)
    assert received.startswith(passed_on)
    assert splitter.has_partial_event == (passed_on != received)
