"""Servers that take no new requests, by their own word."""

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import holds

PROCESS = (model.BackendServerId("s1"), 1)
RESTARTED = (model.BackendServerId("s1"), 2)
OTHER = (model.BackendServerId("s2"), 1)


def resting(rest_ms: int | None) -> holds.StatedAvailability:
    return holds.StatedAvailability(rest_ms=rest_ms)


@pytest.mark.parametrize(
    ("rests_ms", "held_ms"),
    [
        pytest.param([], 0, id="says-nothing"),
        pytest.param([None], 0, id="no-rest"),
        pytest.param([0], 0, id="zero"),
        pytest.param([-5], 0, id="negative"),
        pytest.param([3_000], 3_000, id="three-seconds"),
        pytest.param([3_000, 500], 3_000, id="later-shorter"),
        pytest.param([500, 3_000], 3_000, id="later-longer"),
        pytest.param([3_000, None, 0], 3_000, id="later-says-nothing"),
        pytest.param([10**12], holds.MAX_REST_MS, id="huge"),
    ],
)
def test_rest(rests_ms: list[int | None], held_ms: int) -> None:
    table = holds.ServerHolds()
    for rest_ms in rests_ms:
        table.record(PROCESS, resting(rest_ms), 100)
    assert table.remaining_ms(PROCESS, 100) == held_ms
    assert table.is_held(PROCESS, 100) is bool(held_ms)
    assert not table.is_held(PROCESS, 100 + held_ms)


def test_rest_is_of_the_process_that_asked_for_it() -> None:
    table = holds.ServerHolds()
    table.record(PROCESS, resting(3_000), 0)
    assert not table.is_held(RESTARTED, 1)
    assert not table.is_held(OTHER, 1)
    assert table.first_free_ms([PROCESS, RESTARTED], 1) == 0
    assert table.first_free_ms([PROCESS], 1) == 2_999
    assert table.first_free_ms([], 1) is None


def test_leaving_is_for_good_and_of_one_process() -> None:
    table = holds.ServerHolds()
    leaving = holds.StatedAvailability(is_leaving=True)
    assert table.record(PROCESS, leaving, 0)
    assert not table.record(PROCESS, leaving, 1)
    table.record(PROCESS, holds.NOTHING_STATED, 2)
    assert table.is_held(PROCESS, 10**9)
    assert not table.is_held(RESTARTED, 3)
    assert table.first_free_ms([PROCESS], 3) is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([PROCESS, RESTARTED, OTHER]),
            strategies.one_of(
                strategies.none(), strategies.integers(-10, 100_000)
            ),
            strategies.integers(0, 1_000),
        )
    )
)
def test_like_a_list_of_all_statements(
    statements: list[tuple[holds.Process, int | None, int]],
) -> None:
    """The naive version keeps every statement until its end."""
    table = holds.ServerHolds()
    kept: list[tuple[holds.Process, int]] = []
    now_ms = 0
    for process, rest_ms, passed_ms in statements:
        now_ms += passed_ms
        table.record(process, resting(rest_ms), now_ms)
        kept.append((process, now_ms + min(rest_ms or 0, holds.MAX_REST_MS)))
        for known in (PROCESS, RESTARTED, OTHER):
            held = any(p == known and now_ms < until for p, until in kept)
            assert table.is_held(known, now_ms) is held


# Guards against: a server that asked for a rest of minutes got requests again
# after the first of them.
@pytest.mark.parametrize("rest_ms", [61_000, 180_000, 900_000])
def test_long_rest_is_kept_until_its_end(rest_ms: int) -> None:
    table = holds.ServerHolds()
    table.record(PROCESS, resting(rest_ms), 0)
    assert table.is_held(PROCESS, rest_ms - 1)
    assert not table.is_held(PROCESS, rest_ms)
