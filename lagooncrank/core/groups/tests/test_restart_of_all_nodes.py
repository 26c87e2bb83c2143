"""Restart of all nodes after a power failure, while the engines keep running.

Guards against groups becoming available only one after another. Each engine
reports every 1.2 s, so this happened within that time when entries waited for
reports of all members of a group.
"""

import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders

GROUPS = {g.name: g for g in (builders.group(1, 2, epoch=7),)}


def table_connected_for(connected_ms: int) -> fleet.ServerTable:
    table = fleet.ServerTable(builders.UNREACHABLE_AFTER_MS)
    for now_ms in range(0, connected_ms + 1, 50):
        table.advance_clock(now_ms, now_ms, is_connected=True)
    return table


def serving(table: fleet.ServerTable) -> list[str]:
    result = groups.serving_groups(builders.SERVICE, "large", GROUPS, table)
    return [g.name for g in result]


@pytest.mark.parametrize("connected_ms", [0, 500, 1_950])
def test_group_in_replicated_state_serves_before_members_report(
    connected_ms: int,
) -> None:
    assert serving(table_connected_for(connected_ms)) == ["g7"]


def test_group_without_reports_is_not_trusted_for_long() -> None:
    assert not serving(table_connected_for(2_000))


@pytest.mark.parametrize(
    "report",
    [
        pytest.param(builders.engine_report(2, born_ms=999), id="restarted"),
        pytest.param(
            builders.engine_report(
                2,
                membership=builders.membership_at(
                    model.MemberState.READY, 1, 7
                ),
                state=model.ServerState.DRAINING,
            ),
            id="leaving",
        ),
        pytest.param(builders.engine_report(2), id="not-in-the-group"),
    ],
)
def test_member_report_overrides_replicated_state(
    report: model.ServerReport,
) -> None:
    table = table_connected_for(500)
    table.put(report, 500)
    assert not serving(table)


def test_forming_group_is_not_selected() -> None:
    forming = builders.group(1, 2, epoch=7, phase=model.GroupPhase.FORMING)
    result = groups.serving_groups(
        builders.SERVICE,
        "large",
        {forming.name: forming},
        table_connected_for(0),
    )
    assert not list(result)
