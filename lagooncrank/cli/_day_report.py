"""Account of a stretch of time: who was late, why, and what engines did."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from lagooncrank import clock
from lagooncrank.cli import _engine_history
from lagooncrank.cli import _explain
from lagooncrank.cli import _request_outcomes


def report(
    lines: Iterable[_explain.LogLine], interval_ms: int
) -> Iterator[str]:
    """Yields the lines of the report.

    Args:
        lines: Log lines of all nodes, in any order.
        interval_ms: Length of the intervals of the tables.
    """
    ordered = sorted(lines, key=lambda line: line["wall_ms"])
    ends = sorted(
        _request_outcomes.request_ends(ordered), key=lambda end: end.wall_ms
    )
    states = list(_engine_history.EngineHistory().states(ordered))
    if not ends:
        return
    first_ms = ends[0].wall_ms
    yield from _requests_table(ends, first_ms, interval_ms)
    yield ""
    yield from _causes_table(ends)
    if states:
        yield ""
        yield from _engines_table(
            states, first_ms, ends[-1].wall_ms, interval_ms
        )


def _requests_table(
    ends: Sequence[_request_outcomes.RequestEnd],
    first_ms: int,
    interval_ms: int,
) -> Iterator[str]:
    outcomes = list(_request_outcomes.Outcome)
    counts: dict[int, collections.Counter[str]] = {}
    for end in ends:
        interval = (end.wall_ms - first_ms) // interval_ms
        counts.setdefault(interval, collections.Counter())[end.outcome] += 1
    yield _row("from second", *outcomes)
    for interval in sorted(counts):
        start_s = interval * interval_ms // clock.MS_PER_S
        yield _row(start_s, *(counts[interval][o] for o in outcomes))


def _causes_table(
    ends: Iterable[_request_outcomes.RequestEnd],
) -> Iterator[str]:
    counts = collections.Counter(end.cause for end in ends if end.cause)
    yield "requests not on time, by first cause"
    for cause, count in counts.most_common():
        yield f"{count:8}  {cause}"


def _engines_table(
    states: Sequence[_engine_history.EngineState],
    first_ms: int,
    last_ms: int,
    interval_ms: int,
) -> Iterator[str]:
    models = sorted({name for state in states for name in state.serving})
    yield _row("from second", *models, "ready", "idle, warm", "idle, empty")
    for start_ms in range(first_ms, last_ms, interval_ms):
        state = _state_at(states, start_ms)
        yield _row(
            (start_ms - first_ms) // clock.MS_PER_S,
            *(state.serving.get(name, 0) for name in models),
            state.ready,
            state.idle_warm,
            state.idle_empty,
        )
    stranded_s = _stranded_engine_ms(states, first_ms, last_ms)
    yield f"stranded engine seconds: {stranded_s // clock.MS_PER_S}"


def _state_at(
    states: Sequence[_engine_history.EngineState], wall_ms: int
) -> _engine_history.EngineState:
    """Returns the last state at or before a time, or the first of all."""
    earlier = [s for s in states if s.wall_ms <= wall_ms]
    return earlier[-1] if earlier else states[0]


def _stranded_engine_ms(
    states: Sequence[_engine_history.EngineState], first_ms: int, last_ms: int
) -> int:
    total = 0
    for state, following in zip(states, [*states[1:], None], strict=True):
        start_ms = max(state.wall_ms, first_ms)
        end_ms = last_ms if following is None else following.wall_ms
        total += state.stranded * max(min(end_ms, last_ms) - start_ms, 0)
    return total


def _row(*cells: object) -> str:
    first, *others = (str(cell) for cell in cells)
    return f"{first:>11}" + "".join(f"  {cell:>11}" for cell in others)
