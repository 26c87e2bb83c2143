"""Steps of a group under lost, late and repeated words."""

import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import world

JOINING = model.MemberState.JOINING
READY = model.MemberState.READY
OPEN = model.MemberState.OPEN
BROKEN = model.MemberState.BROKEN
FORMING = model.GroupPhase.FORMING
SERVING = model.GroupPhase.SERVING
DISSOLVING = model.GroupPhase.DISSOLVING
NOW_MS = 10_000


def actions(
    group: model.Group,
    reports: list[model.ServerReport],
    working: tuple[str, ...] = (),
    doubted: tuple[str, ...] = (),
) -> list[groups.Action]:
    table = world.table_of(*reports)
    for server_id in doubted:
        table.mark_unreachable(model.BackendServerId(server_id))
    life_cycle = groups.GroupLifecycle()
    return list(life_cycle.next_actions(group, table, working, NOW_MS))


def orders(found: list[groups.Action]) -> list[tuple[str, str]]:
    return [
        (a.kind.value, a.member.server_id)
        for a in found
        if isinstance(a, groups.Order)
    ]


def moves(found: list[groups.Action]) -> list[model.GroupPhase | None]:
    return [a.phase for a in found if isinstance(a, groups.PhaseChange)]


def test_members_that_have_not_joined_are_told_to() -> None:
    group = world.group(1, 2, phase=FORMING, model_name="small")
    found = actions(group, world.members_of(group, [JOINING, None]))
    assert orders(found) == [("join", "s2")]


@pytest.mark.parametrize("state", [None, JOINING])
def test_group_does_not_serve_before_each_member_said_ready(
    state: model.MemberState | None,
) -> None:
    group = world.group(1, 2, 3, 4, phase=FORMING)
    found = actions(
        group, world.members_of(group, [READY, READY, READY, state])
    )
    assert not moves(found)
    assert ("open", "s1") not in orders(found)


def test_group_serves_once_all_said_ready() -> None:
    group = world.group(1, 2, 3, 4, phase=FORMING)
    found = actions(group, world.members_of(group, [READY] * 4))
    assert moves(found) == [SERVING]
    assert not orders(found)


def test_word_of_another_epoch_does_not_count_as_ready() -> None:
    group = world.group(1, 2, phase=FORMING)
    reports = world.members_of(group, [READY, READY])
    old = world.engine(2, membership=world.place(READY, 1, epoch=6))
    assert not moves(actions(group, [reports[0], old]))


def test_head_opens_only_in_a_serving_group() -> None:
    group = world.group(1, 2)
    found = actions(group, world.members_of(group, [READY, READY]))
    assert orders(found) == [("open", "s1")]


def test_order_is_not_repeated_before_its_time() -> None:
    group = world.group(1, 2)
    table = world.table_of(*world.members_of(group, [READY, READY]))
    life_cycle = groups.GroupLifecycle()
    first = list(life_cycle.next_actions(group, table, (), NOW_MS))
    soon = list(life_cycle.next_actions(group, table, (), NOW_MS + 500))
    again = list(life_cycle.next_actions(group, table, (), NOW_MS + 1_000))
    assert orders(first) == orders(again) == [("open", "s1")]
    assert not soon


@pytest.mark.parametrize("lost", ["s1", "s2"])
def test_group_with_a_silent_member_is_dissolved(lost: str) -> None:
    group = world.group(1, 2)
    reports = world.members_of(group, [OPEN, READY])
    found = actions(group, reports, doubted=(lost,))
    assert moves(found) == [DISSOLVING]


def test_group_that_still_answers_is_kept_though_its_members_are_silent() -> (
    None
):
    group = world.group(1, 2)
    reports = world.members_of(group, [OPEN, READY])
    found = actions(group, reports, working=("s1",), doubted=("s1", "s2"))
    assert not found


def test_member_that_started_again_ends_the_group() -> None:
    group = world.group(1, 2)
    reports = world.members_of(group, [OPEN, READY])
    again = world.engine(2, born_ms=500)
    assert moves(actions(group, [reports[0], again])) == [DISSOLVING]


def test_head_that_is_open_is_closed_then_left_then_free() -> None:
    group = world.group(1, 2, phase=DISSOLVING)
    steps = [
        (OPEN, [("close_now", "s1")], []),
        (READY, [("leave", "s1")], []),
        (None, [], [None]),
        (BROKEN, [], [None]),
    ]
    for state, wanted_orders, wanted_moves in steps:
        found = actions(group, world.members_of(group, [state, READY]))
        assert orders(found) == wanted_orders, state
        assert moves(found) == wanted_moves, state


def test_members_of_an_unreachable_head_leave_before_they_are_free() -> None:
    group = world.group(1, 2, 3, 4, phase=DISSOLVING)
    reports = world.members_of(group, [OPEN, READY, None, READY])
    found = actions(group, reports, doubted=("s1", "s4"))
    assert orders(found) == [("leave", "s2")]
    released = [
        a.server_ids for a in found if isinstance(a, groups.MemberRelease)
    ]
    assert released == [("s3",)]
    assert not moves(found), "the head may be open behind a cut"


def test_unreachable_head_is_over_once_its_address_starts_another() -> None:
    group = world.group(1, 2, phase=DISSOLVING)
    head, member = world.members_of(group, [OPEN, READY])
    successor = world.engine(9, born_ms=900)
    taken = model.ServerReport(
        successor.server_id,
        successor.born_ms,
        successor.sequence,
        successor.service,
        head.address,
        successor.failure_domain,
        successor.state,
        successor.slots,
    )
    assert moves(actions(group, [head, member, taken])) == [None]


def test_head_that_was_never_heard_keeps_its_members_until_they_left() -> None:
    """After a restart of all control nodes a head may report late."""
    group = world.group(1, 2, 3, 4, phase=DISSOLVING)
    members = world.members_of(group, [OPEN, READY, None, READY])[1:]
    found = actions(group, members)
    assert not moves(found)
    assert orders(found) == [("leave", "s2"), ("leave", "s4")]
    released = [
        a.server_ids for a in found if isinstance(a, groups.MemberRelease)
    ]
    assert released == [("s3",)]


def test_head_without_members_is_forgotten_once_it_would_have_been_heard() -> (
    None
):
    group = world.group(1, phase=DISSOLVING)
    assert moves(actions(group, [])) == [None]


@pytest.mark.parametrize(
    ("state", "wanted"),
    [
        (OPEN, [("close_now", "s1")]),
        (model.MemberState.CLOSING, [("close_now", "s1")]),
        (READY, []),
    ],
)
def test_open_head_of_a_group_that_is_over_is_closed(
    state: model.MemberState, wanted: list[tuple[str, str]]
) -> None:
    table = world.table_of(
        world.engine(1, membership=world.place(state, 0, epoch=5)),
        world.engine(2, membership=world.place(READY, 1, epoch=5)),
    )
    life_cycle = groups.GroupLifecycle()
    found: list[groups.Action] = list(
        life_cycle.orphan_orders(world.SERVICE, table, {}, NOW_MS)
    )
    assert orders(found) == wanted


def test_lost_head_without_members_ends_its_group() -> None:
    """A head that left behind a cut is remembered for a minute as silent."""
    group = world.group(1, phase=DISSOLVING)
    head = world.members_of(group, [OPEN])
    assert not moves(actions(group, head)), "it may still close by itself"
    assert moves(actions(group, head, doubted=("s1",))) == [None]
