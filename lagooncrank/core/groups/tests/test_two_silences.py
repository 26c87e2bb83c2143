"""Groups whose members are all silent for a second, twice in a row."""

from collections.abc import Iterator
import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders

OPEN = model.MemberState.OPEN
READY = model.MemberState.READY
STEP_MS = 50
REPORT_INTERVAL_MS = 100
START_MS = 10_000
UNREACHABLE_AFTER_MS = 1_100
#: Beginning and end of each silence, after the start.
SILENCES_MS = ((500, 1_800), (2_000, 3_300))
END_MS = 5_000
#: Orders that end the work of a head, or that of its group.
FATAL_ORDERS = ("close_now", "leave")


def is_silent(waited_ms: int) -> bool:
    return any(start <= waited_ms < end for start, end in SILENCES_MS)


def reporting(waited_ms: int, between: tuple[str, ...]) -> tuple[str, ...]:
    """Returns who sends a report now; `between` the silences not all do."""
    if is_silent(waited_ms) or waited_ms % REPORT_INTERVAL_MS:
        return ()
    is_between = SILENCES_MS[0][1] <= waited_ms < SILENCES_MS[1][0]
    return between if is_between else ("s1", "s2")


def fatal_orders(between: tuple[str, ...]) -> Iterator[tuple[int, str, str]]:
    """Yields when which fatal order is given to which engine."""
    group = builders.group(1, 2)
    reports = builders.member_reports(group, [OPEN, READY])
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    for now_ms in range(0, START_MS, STEP_MS):
        table.advance_clock(now_ms, now_ms, is_connected=True)
    lifecycle = groups.GroupLifecycle()
    for waited_ms in range(0, END_MS, STEP_MS):
        now_ms = START_MS + waited_ms
        table.advance_clock(now_ms, now_ms, is_connected=True)
        for index, report in enumerate(reports):
            if report.server_id in reporting(waited_ms, between):
                reports[index] = builders.next_report(report)
                table.put(reports[index], now_ms)
        active_heads = () if is_silent(waited_ms) else ("s1",)
        for action in lifecycle.next_actions(
            group, table, active_heads, now_ms, 2
        ):
            match action:
                case groups.PhaseChange(phase=phase):
                    assert phase is not None
                    group = dataclasses.replace(group, phase=phase)
                case groups.Order(kind=kind, member=member):
                    if kind.value in FATAL_ORDERS:
                        yield waited_ms, kind.value, member.server_id


# Guards against: a member that was heard for a moment between two silences of
# all members is told to leave, or a head to abort its streams, in the second.
@pytest.mark.parametrize("between", [("s1", "s2"), ("s2",), ("s1",), ()])
def test_group_outlives_two_silences_of_all_members(
    between: tuple[str, ...],
) -> None:
    assert list(fatal_orders(between)) == []
