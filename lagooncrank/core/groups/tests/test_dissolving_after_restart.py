"""Dissolving groups of which a restarted leader has seen no head yet."""

from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders

#: Longer than the time after which a server counts as unreachable.
OUTAGE_MS: Final = 14_000


def restarted_table(*reports: model.ServerReport) -> fleet.ServerTable:
    """Returns a table that got reports of before an outage from a peer."""
    peer = fleet.ServerTable(builders.UNREACHABLE_AFTER_MS)
    for report in reports:
        peer.put(report, 0)
    table = fleet.ServerTable(builders.UNREACHABLE_AFTER_MS)
    table.advance_clock(OUTAGE_MS, OUTAGE_MS, is_connected=True)
    table.merge(peer.snapshot(OUTAGE_MS), OUTAGE_MS)
    return table


def phases(
    group: model.Group, table: fleet.ServerTable, now_ms: int
) -> list[model.GroupPhase | None]:
    actions = groups.GroupLifecycle().next_actions(group, table, (), now_ms)
    return [a.phase for a in actions if isinstance(a, groups.PhaseChange)]


# Guards against a restarted leader that dissolves all groups, as it has only
# reports of a peer that was partitioned.
def test_old_reports_of_a_peer_dissolve_no_group() -> None:
    group = builders.group(1, 2)
    states = [model.MemberState.OPEN, model.MemberState.READY]
    table = restarted_table(*builders.member_reports(group, states))
    assert not phases(group, table, OUTAGE_MS)
    end_ms = OUTAGE_MS + builders.UNREACHABLE_AFTER_MS
    for now_ms in range(OUTAGE_MS, end_ms + 1, 50):
        table.advance_clock(now_ms, now_ms, is_connected=True)
    assert phases(group, table, end_ms) == [model.GroupPhase.DISSOLVING]


def test_member_that_does_not_respond_dissolves_its_group_at_once() -> None:
    group = builders.group(1, 2)
    states = [model.MemberState.OPEN, model.MemberState.READY]
    table = restarted_table(*builders.member_reports(group, states))
    table.mark_unreachable(model.BackendServerId("s2"))
    assert phases(group, table, OUTAGE_MS) == [model.GroupPhase.DISSOLVING]


# Guards against members that leave a head while it finishes its requests, only
# because its report has not arrived since the restart.
def test_members_stay_while_the_head_may_not_have_reported_yet() -> None:
    group = builders.group(1, 2, phase=model.GroupPhase.DISSOLVING)
    table = fleet.ServerTable(builders.UNREACHABLE_AFTER_MS)
    _, member = builders.member_reports(
        group, [model.MemberState.CLOSING, model.MemberState.READY]
    )
    table.put(member, 0)
    assert not table.is_warmed_up
    actions = groups.GroupLifecycle().next_actions(group, table, (), 0)
    assert not list(actions)
