"""Servers that take no new requests, by their own word."""

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import holds
from lagooncrank.core import responders
from lagooncrank.core.holds import _holds

SERVER = model.BackendServerId("s1")
PROCESS = (SERVER, 1_000)
OTHER = (model.BackendServerId("s2"), 1_000)
#: Unix time of statements, if a test needs only one.
STATED_MS = 90_000
TOLERANCE_MS = responders.CLOCK_TOLERANCE_MS
LEAVING = holds.StatedAvailability(is_leaving=True)


def resting(rest_ms: int | None) -> holds.StatedAvailability:
    return holds.StatedAvailability(rest_ms=rest_ms)


def responder(
    process: responders.Process = PROCESS, unix_ms: int = STATED_MS
) -> responders.Responder:
    return responders.Responder.at_time(process, unix_ms)


def restarted(born_ms: int) -> responders.Process:
    """Returns another process of the same server."""
    return (SERVER, born_ms)


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
        table.record(responder(), resting(rest_ms), 100)
    assert table.remaining_ms(PROCESS, 100) == held_ms
    assert table.is_held(PROCESS, 100) is bool(held_ms)
    assert not table.is_held(PROCESS, 100 + held_ms)


# Guards against: a rest, or a leaving, that a server stated after a restart and
# before its first report ended with that report. And against: a process that
# asked for nothing is held for one before it.
@pytest.mark.parametrize(
    "stated", [resting(3_000), LEAVING], ids=["rest", "leaving"]
)
@pytest.mark.parametrize(
    ("process", "is_held"),
    [
        pytest.param(PROCESS, True, id="the-one-that-was-meant"),
        pytest.param(restarted(500), True, id="an-older-one"),
        pytest.param(
            restarted(STATED_MS - 1_500), True, id="began-shortly-before"
        ),
        pytest.param(
            restarted(STATED_MS + TOLERANCE_MS), True, id="clocks-may-differ"
        ),
        pytest.param(
            restarted(STATED_MS + TOLERANCE_MS + 1), False, id="began-later"
        ),
        pytest.param(OTHER, False, id="another-server"),
    ],
)
def test_statement_holds_for_each_process_that_may_have_made_it(
    stated: holds.StatedAvailability,
    process: responders.Process,
    *,
    is_held: bool,
) -> None:
    table = holds.ServerHolds()
    table.record(responder(), stated, 0)
    assert table.is_held(process, 1) is is_held


def test_new_process_rests_for_as_long_as_it_asked_itself() -> None:
    table = holds.ServerHolds()
    table.record(responder(unix_ms=50_000), resting(60_000), 50_000)
    # Its first report is late, so its statement is booked on the old process.
    table.record(responder(unix_ms=58_000), resting(1_000), 58_000)
    new = restarted(57_000)
    assert table.remaining_ms(new, 58_000) == 1_000
    assert table.remaining_ms(PROCESS, 58_000) == 52_000
    assert table.first_free_ms([PROCESS, new], 58_000) == 1_000
    assert table.first_free_ms([restarted(99_000)], 58_000) == 0
    assert table.first_free_ms([], 58_000) is None


# Guards against: each process of a server that restarted again and again left
# a statement that was never dropped.
def test_statements_of_a_server_that_restarts_for_ever_are_bounded() -> None:
    table = holds.ServerHolds()
    for number in range(10 * _holds.MAX_HOLDS_OF_SERVER):
        born_ms = 1_000 * number
        said = responder(restarted(born_ms), born_ms)
        assert table.record(said, LEAVING, born_ms)
        assert table.is_held(restarted(born_ms), born_ms)
    assert len(table._holds[SERVER]) == _holds.MAX_HOLDS_OF_SERVER


# A report of another writer may name a start that the server has not had.
def test_statement_to_a_process_that_never_was_holds_the_real_one() -> None:
    table = holds.ServerHolds()
    table.record(responder(restarted(STATED_MS + 9_999)), resting(3_000), 0)
    assert table.is_held(PROCESS, 1)


def test_leaving_is_for_good() -> None:
    table = holds.ServerHolds()
    assert table.record(responder(), LEAVING, 0)
    assert not table.record(responder(), LEAVING, 1)
    table.record(responder(), holds.NOTHING_STATED, 2)
    assert table.is_held(PROCESS, 10**9)
    assert table.first_free_ms([PROCESS], 3) is None


def test_process_that_may_have_said_that_it_leaves_is_gone_or_free() -> None:
    table = holds.ServerHolds()
    table.record(responder(), LEAVING, 0)
    process = restarted(STATED_MS)
    assert table.is_held(process, _holds.UNCERTAIN_LEAVING_MS - 1)
    assert not table.is_held(process, _holds.UNCERTAIN_LEAVING_MS)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([PROCESS, restarted(5_000), OTHER]),
            strategies.one_of(
                strategies.none(), strategies.integers(-10, 100_000)
            ),
            strategies.one_of(
                strategies.just(0), strategies.integers(TOLERANCE_MS + 1, 3_000)
            ),
        )
    )
)
def test_like_a_list_of_all_statements(
    statements: list[tuple[responders.Process, int | None, int]],
) -> None:
    """The naive version keeps every statement until its end.

    Those of moments that clocks do not tell apart may stand for each other.
    """
    table = holds.ServerHolds()
    kept: list[tuple[responders.Process, int, int]] = []
    now_ms = 0
    for process, rest_ms, passed_ms in statements:
        now_ms += passed_ms
        table.record(responder(process, now_ms), resting(rest_ms), now_ms)
        until_ms = now_ms + min(rest_ms or 0, holds.MAX_REST_MS)
        kept.append((process, now_ms, until_ms))
    known = [PROCESS, OTHER, *(restarted(n) for n in range(0, now_ms, 400))]
    for process in known:
        expected_ms = max(
            (
                until_ms - now_ms
                for meant, at_ms, until_ms in kept
                if responder(meant, at_ms).may_be(process)
            ),
            default=0,
        )
        assert table.remaining_ms(process, now_ms) == max(expected_ms, 0)


# Guards against: a server that asked for a rest of minutes got requests again
# after the first of them.
@pytest.mark.parametrize("rest_ms", [61_000, 180_000, 900_000])
def test_long_rest_is_kept_until_its_end(rest_ms: int) -> None:
    table = holds.ServerHolds()
    table.record(responder(), resting(rest_ms), 0)
    assert table.is_held(PROCESS, rest_ms - 1)
    assert not table.is_held(PROCESS, rest_ms)
