"""Heads that close while a member leaves, or that are in no group any more."""

from collections.abc import Iterator
import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders

READY = model.MemberState.READY
OPEN = model.MemberState.OPEN
DRAINING = model.ServerState.DRAINING
GONE = model.ServerState.GONE
STEP_MS = 100
START_MS = 10_000
CLOSE_TIMEOUT_MS = 10_000
PROGRESS_TIMEOUT_MS = 2_000
#: Orders that end the work of a head.
FATAL_ORDERS = ("close_now", "leave")


def fatal_orders(
    leaving: str,
    state: model.ServerState,
    *,
    works_until_ms: int,
    silent_from_ms: int | None = None,
) -> Iterator[tuple[int, str, str]]:
    """Yields the orders that end the work of a head whose group dissolves.

    Args:
        leaving: The member that leaves.
        state: What it reports; a member that has deregistered reports no more.
        works_until_ms: Until when entries see responses of the head progress.
        silent_from_ms: From when the member that leaves sends no reports.

    Yields:
        The time since the group began to dissolve, the kind and the engine.
    """
    group = dataclasses.replace(
        builders.group(1, 2, phase=model.GroupPhase.DISSOLVING),
        waits_for_work=True,
    )
    reports = builders.member_reports(group, [OPEN, READY])
    table = builders.server_table(*reports)
    lifecycle = groups.GroupLifecycle()
    if state is GONE:
        silent_from_ms = 0
        assert table.deregister(model.BackendServerId(leaving), 100, START_MS)
    for waited_ms in range(0, 2 * CLOSE_TIMEOUT_MS, STEP_MS):
        now_ms = START_MS + waited_ms
        table.advance_clock(now_ms, now_ms, is_connected=True)
        for index, report in enumerate(reports):
            changes = {}
            if report.server_id == leaving:
                changes["state"] = state
                if silent_from_ms is not None and waited_ms >= silent_from_ms:
                    continue
            reports[index] = builders.next_report(report, **changes)
            table.put(reports[index], now_ms)
        active_heads = ("s1",) if waited_ms < works_until_ms else ()
        for action in lifecycle.next_actions(
            group, table, active_heads, now_ms, 2
        ):
            if isinstance(action, groups.Order) and action.kind in FATAL_ORDERS:
                yield waited_ms, action.kind.value, action.member.server_id


# Guards against: a head whose responses progress is told to abort them 3 s
# after a member has deregistered, or loses its members if it has itself.
@pytest.mark.parametrize("works_until_ms", [8_000, 30_000])
@pytest.mark.parametrize("state", [DRAINING, GONE])
@pytest.mark.parametrize("leaving", ["s1", "s2"])
def test_head_works_on_after_a_member_has_left_in_good_order(
    leaving: str, state: model.ServerState, works_until_ms: int
) -> None:
    orders = fatal_orders(leaving, state, works_until_ms=works_until_ms)
    first_ms, _, _ = next(orders)
    assert first_ms >= min(works_until_ms, CLOSE_TIMEOUT_MS)
    assert first_ms <= CLOSE_TIMEOUT_MS


# Guards against: engines wait for a head that cannot do any work.
@pytest.mark.parametrize(
    ("leaving", "state", "silent_from_ms", "order"),
    [
        ("s1", GONE, None, ("leave", "s2")),
        ("s2", DRAINING, 500, ("close_now", "s1")),
    ],
)
def test_group_without_work_does_not_wait_for_the_time_limit(
    leaving: str,
    state: model.ServerState,
    silent_from_ms: int | None,
    order: tuple[str, str],
) -> None:
    orders = fatal_orders(
        leaving, state, works_until_ms=0, silent_from_ms=silent_from_ms
    )
    first_ms, *first = next(orders)
    assert tuple(first) == order
    lost_ms = builders.UNREACHABLE_AFTER_MS + (silent_from_ms or 0)
    assert first_ms <= lost_ms + STEP_MS


# Guards against: requests are aborted as nothing is seen of them for a moment.
@pytest.mark.parametrize(
    ("quiet_ms", "expected"),
    [
        (900, []),
        (PROGRESS_TIMEOUT_MS - 100, ["close"]),
        (PROGRESS_TIMEOUT_MS, ["close_now"]),
    ],
)
def test_restarted_member_ends_work_that_does_not_progress(
    quiet_ms: int, expected: list[str]
) -> None:
    group = builders.group(1, 2, phase=model.GroupPhase.DISSOLVING)
    head, _ = builders.member_reports(group, [OPEN, READY])
    table = builders.server_table(head, builders.engine_report(2, born_ms=500))
    lifecycle = groups.GroupLifecycle()
    first = list(lifecycle.next_actions(group, table, ("s1",), START_MS, 2))
    assert kinds(first) == ["close"]
    later_ms = START_MS + quiet_ms
    later = list(lifecycle.next_actions(group, table, (), later_ms, 2))
    assert kinds(later) == expected


def kinds(actions: list[groups.Action]) -> list[str]:
    return [a.kind.value for a in actions if isinstance(a, groups.Order)]


def stray_kinds(
    lifecycle: groups.GroupLifecycle,
    table: fleet.ServerTable,
    active_heads: tuple[str, ...],
    now_ms: int,
) -> list[str]:
    orders = lifecycle.stray_orders(
        builders.SERVICE, table, {}, 9, active_heads, now_ms
    )
    return kinds(list(orders))


# Guards against: a head that was cut off while its group was removed is told to
# abort responses that entries see progressing.
def test_head_in_no_group_finishes_its_work() -> None:
    removed = builders.group(1)
    table = builders.server_table(*builders.member_reports(removed, [OPEN]))
    lifecycle = groups.GroupLifecycle()
    for waited_ms in range(0, CLOSE_TIMEOUT_MS, 1_000):
        now_ms = START_MS + waited_ms
        assert stray_kinds(lifecycle, table, ("s1",), now_ms) == ["close"]
    now_ms = START_MS + CLOSE_TIMEOUT_MS
    assert stray_kinds(lifecycle, table, ("s1",), now_ms) == ["close_now"]


# Guards against: a head in no group waits for work that it cannot do.
def test_head_in_no_group_aborts_work_that_does_not_progress() -> None:
    removed = builders.group(1)
    table = builders.server_table(*builders.member_reports(removed, [OPEN]))
    lifecycle = groups.GroupLifecycle()
    assert stray_kinds(lifecycle, table, ("s1",), START_MS) == ["close"]
    early_ms = START_MS + PROGRESS_TIMEOUT_MS - 100
    assert stray_kinds(lifecycle, table, (), early_ms) == ["close"]
    late_ms = START_MS + PROGRESS_TIMEOUT_MS
    assert stray_kinds(lifecycle, table, (), late_ms) == ["close_now"]


# Guards against: a head that is closing is told so each second while it works.
def test_head_that_is_closing_is_not_told_again() -> None:
    group = builders.group(1, 2, phase=model.GroupPhase.DISSOLVING)
    told = []
    for state in (OPEN, model.MemberState.CLOSING, OPEN):
        table = builders.server_table(
            *builders.member_reports(group, [state, READY])
        )
        lifecycle = groups.GroupLifecycle()
        told.append(
            kinds(list(lifecycle.next_actions(group, table, (), START_MS)))
        )
    assert told == [["close"], [], ["close"]]


# Guards against: a head that comes back after its group was removed is told to
# abort its responses at once, as the group had begun to dissolve long before.
def test_head_of_a_removed_group_has_its_time_when_it_comes_back() -> None:
    group = builders.group(1, phase=model.GroupPhase.DISSOLVING)
    lost = builders.server_table()
    lifecycle = groups.GroupLifecycle()
    (removal,) = lifecycle.next_actions(group, lost, (), START_MS, 1)
    assert isinstance(removal, groups.PhaseChange)
    assert removal.phase is None
    table = builders.server_table(*builders.member_reports(group, [OPEN]))
    now_ms = START_MS + 2 * CLOSE_TIMEOUT_MS
    assert stray_kinds(lifecycle, table, ("s1",), now_ms) == ["close"]
