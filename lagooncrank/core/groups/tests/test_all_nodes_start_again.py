"""All nodes start again after a loss of power, while the engines go on.

Each engine reports once in 1.2 s. When entries waited for all members of a
group, the groups came back one after the other within that time.
"""

import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import world

HELD = {g.name: g for g in (world.group(1, 2, epoch=7),)}


def table_after(connected_ms: int) -> fleet.ServerTable:
    table = fleet.ServerTable(world.LOST_AFTER_MS)
    for now_ms in range(0, connected_ms + 1, 50):
        table.advance_clock(now_ms, is_connected=True)
    return table


def serving(table: fleet.ServerTable) -> list[str]:
    found = groups.serving_groups(world.SERVICE, "large", HELD, table)
    return [g.name for g in found]


@pytest.mark.parametrize("connected_ms", [0, 500, 1_950])
def test_groups_of_the_state_serve_before_they_report(
    connected_ms: int,
) -> None:
    assert serving(table_after(connected_ms)) == ["g7"]


def test_group_is_not_taken_at_its_word_for_long() -> None:
    assert not serving(table_after(2_000))


@pytest.mark.parametrize(
    "report",
    [
        pytest.param(world.engine(2, born_ms=999), id="started-again"),
        pytest.param(
            world.engine(
                2,
                membership=world.place(model.MemberState.READY, 1, 7),
                state=model.ServerState.DRAINING,
            ),
            id="leaving",
        ),
        pytest.param(world.engine(2), id="not-in-the-group"),
    ],
)
def test_what_a_member_says_goes_before(report: model.ServerReport) -> None:
    table = table_after(500)
    table.put(report, 500)
    assert not serving(table)


def test_group_that_does_not_serve_yet_is_not_used() -> None:
    forming = world.group(1, 2, epoch=7, phase=model.GroupPhase.FORMING)
    found = groups.serving_groups(
        world.SERVICE, "large", {forming.name: forming}, table_after(0)
    )
    assert not list(found)
