"""Actions of a group's lifecycle with lost, delayed and repeated reports."""

import dataclasses
from typing import Any

import pytest

from lagooncrank import model
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders

JOINING = model.MemberState.JOINING
READY = model.MemberState.READY
OPEN = model.MemberState.OPEN
CLOSING = model.MemberState.CLOSING
BROKEN = model.MemberState.BROKEN
FORMING = model.GroupPhase.FORMING
SERVING = model.GroupPhase.SERVING
DISSOLVING = model.GroupPhase.DISSOLVING
NOW_MS = 10_000


def actions(
    group: model.Group,
    reports: list[model.ServerReport],
    active_heads: tuple[str, ...] = (),
    unreachable: tuple[str, ...] = (),
) -> list[groups.Action]:
    table = builders.server_table(*reports)
    for server_id in unreachable:
        table.mark_unreachable(model.BackendServerId(server_id))
    lifecycle = groups.GroupLifecycle()
    return list(lifecycle.next_actions(group, table, active_heads, NOW_MS))


def orders(result: list[groups.Action]) -> list[tuple[str, str]]:
    return [
        (a.kind.value, a.member.server_id)
        for a in result
        if isinstance(a, groups.Order)
    ]


def phase_changes(result: list[groups.Action]) -> list[model.GroupPhase | None]:
    return [a.phase for a in result if isinstance(a, groups.PhaseChange)]


def test_members_that_have_not_joined_are_ordered_to_join() -> None:
    group = builders.group(1, 2, phase=FORMING, model_name="small")
    result = actions(group, builders.member_reports(group, [JOINING, None]))
    assert orders(result) == [("join", "s2")]


@pytest.mark.parametrize("state", [None, JOINING])
def test_group_does_not_serve_before_each_member_reports_ready(
    state: model.MemberState | None,
) -> None:
    group = builders.group(1, 2, 3, 4, phase=FORMING)
    result = actions(
        group, builders.member_reports(group, [READY, READY, READY, state])
    )
    assert not phase_changes(result)
    assert ("open", "s1") not in orders(result)


def test_group_serves_once_all_members_report_ready() -> None:
    group = builders.group(1, 2, 3, 4, phase=FORMING)
    result = actions(group, builders.member_reports(group, [READY] * 4))
    assert phase_changes(result) == [SERVING]
    assert not orders(result)


def test_report_of_another_epoch_does_not_count_as_ready() -> None:
    group = builders.group(1, 2, phase=FORMING)
    reports = builders.member_reports(group, [READY, READY])
    old = builders.engine_report(
        2, membership=builders.membership_at(READY, 1, epoch=6)
    )
    assert not phase_changes(actions(group, [reports[0], old]))


def test_head_opens_only_in_a_serving_group() -> None:
    group = builders.group(1, 2)
    result = actions(group, builders.member_reports(group, [READY, READY]))
    assert orders(result) == [("open", "s1")]


def test_order_is_not_resent_within_the_resend_interval() -> None:
    group = builders.group(1, 2)
    table = builders.server_table(
        *builders.member_reports(group, [READY, READY])
    )
    lifecycle = groups.GroupLifecycle()
    first = list(lifecycle.next_actions(group, table, (), NOW_MS))
    soon = list(lifecycle.next_actions(group, table, (), NOW_MS + 500))
    resent = list(lifecycle.next_actions(group, table, (), NOW_MS + 1_000))
    assert orders(first) == orders(resent) == [("open", "s1")]
    assert not soon


@pytest.mark.parametrize("server_id", ["s1", "s2"])
def test_group_with_an_unreachable_member_is_dissolved(server_id: str) -> None:
    group = builders.group(1, 2)
    reports = builders.member_reports(group, [OPEN, READY])
    result = actions(group, reports, unreachable=(server_id,))
    assert phase_changes(result) == [DISSOLVING]


def test_group_with_an_active_head_survives_unreachable_members() -> None:
    group = builders.group(1, 2)
    reports = builders.member_reports(group, [OPEN, READY])
    result = actions(
        group, reports, active_heads=("s1",), unreachable=("s1", "s2")
    )
    assert not result


def test_restarted_member_dissolves_the_group() -> None:
    group = builders.group(1, 2)
    reports = builders.member_reports(group, [OPEN, READY])
    restarted = builders.engine_report(2, born_ms=500)
    assert phase_changes(actions(group, [reports[0], restarted])) == [
        DISSOLVING
    ]


def test_open_head_is_closed_then_leaves_then_is_released() -> None:
    group = builders.group(1, 2, phase=DISSOLVING)
    steps = [
        (OPEN, [("close", "s1")], []),
        (READY, [("leave", "s1")], []),
        (None, [], [None]),
        (BROKEN, [], [None]),
    ]
    for state, expected_orders, expected_phases in steps:
        result = actions(group, builders.member_reports(group, [state, READY]))
        assert orders(result) == expected_orders, state
        assert phase_changes(result) == expected_phases, state
    lacking = actions(group, builders.member_reports(group, [OPEN, None]))
    assert orders(lacking) == [("close_now", "s1")]


def test_members_of_an_unreachable_head_leave_before_their_release() -> None:
    group = builders.group(1, 2, 3, 4, phase=DISSOLVING)
    reports = builders.member_reports(group, [OPEN, READY, None, READY])
    result = actions(group, reports, unreachable=("s1", "s4"))
    assert orders(result) == [("leave", "s2")]
    released = [
        a.server_ids for a in result if isinstance(a, groups.MemberRelease)
    ]
    assert released == [("s3",)]
    assert not phase_changes(result), "a partitioned head may still be open"


def test_group_is_removed_once_its_unreachable_head_is_replaced() -> None:
    group = builders.group(1, 2, phase=DISSOLVING)
    head, member = builders.member_reports(group, [OPEN, READY])
    successor = builders.engine_report(9, born_ms=900)
    successor_at_same_address = model.ServerReport(
        successor.server_id,
        successor.born_ms,
        successor.sequence,
        successor.service,
        head.address,
        successor.failure_domain,
        successor.state,
        successor.slots,
    )
    assert phase_changes(
        actions(group, [head, member, successor_at_same_address])
    ) == [None]


def test_unseen_head_keeps_its_members_until_they_leave() -> None:
    """After a restart of all control nodes, a head's report may be delayed."""
    group = builders.group(1, 2, 3, 4, phase=DISSOLVING)
    members = builders.member_reports(group, [OPEN, READY, None, READY])[1:]
    result = actions(group, members)
    assert not phase_changes(result)
    assert orders(result) == [("leave", "s2"), ("leave", "s4")]
    released = [
        a.server_ids for a in result if isinstance(a, groups.MemberRelease)
    ]
    assert released == [("s3",)]


def test_group_with_only_an_unseen_head_is_removed() -> None:
    group = builders.group(1, phase=DISSOLVING)
    assert phase_changes(actions(group, [])) == [None]


def stray_orders(
    reports: list[model.ServerReport],
    existing: list[model.Group],
    last_epoch: int = 9,
) -> list[tuple[str, str]]:
    result: list[groups.Action] = list(
        groups.GroupLifecycle().stray_orders(
            builders.SERVICE,
            builders.server_table(*reports),
            {g.name: g for g in existing},
            last_epoch,
            (),
            NOW_MS,
        )
    )
    return orders(result)


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        (OPEN, [("close_now", "s1"), ("leave", "s2")]),
        (CLOSING, [("close_now", "s1"), ("leave", "s2")]),
        (READY, [("leave", "s1"), ("leave", "s2")]),
        (JOINING, [("leave", "s1"), ("leave", "s2")]),
        (BROKEN, [("leave", "s1"), ("leave", "s2")]),
        (None, [("leave", "s2")]),
    ],
)
def test_members_of_a_removed_group_leave_it(
    state: model.MemberState | None, expected: list[tuple[str, str]]
) -> None:
    removed = builders.group(1, 2)
    reports = builders.member_reports(removed, [state, READY])
    assert stray_orders(reports, []) == expected


def test_released_member_that_joined_again_leaves() -> None:
    reports = builders.member_reports(builders.group(1, 2), [OPEN, READY])
    remaining = builders.group(1, phase=DISSOLVING)
    assert stray_orders(reports, [remaining]) == [("leave", "s2")]


@pytest.mark.parametrize("phase", list(model.GroupPhase))
def test_members_of_an_existing_group_are_no_strays(
    phase: model.GroupPhase,
) -> None:
    group = builders.group(1, 2, phase=phase)
    reports = builders.member_reports(group, [OPEN, READY])
    assert not stray_orders(reports, [group])


# Guards against a leader that closes groups that it has not applied yet.
def test_members_of_a_group_newer_than_the_state_are_no_strays() -> None:
    reports = builders.member_reports(builders.group(1, 2), [OPEN, READY])
    assert not stray_orders(reports, [], last_epoch=6)


def test_group_with_only_an_unreachable_head_is_removed() -> None:
    """Guards against waiting for a head that shut down while partitioned.

    Its record remains in the table as unreachable for a minute.
    """
    group = builders.group(1, phase=DISSOLVING)
    head = builders.member_reports(group, [OPEN])
    assert not phase_changes(actions(group, head)), (
        "the head may still close by itself"
    )
    assert phase_changes(actions(group, head, unreachable=("s1",))) == [None]


def first_close_now_ms(
    states: list[model.MemberState | None],
    active_heads: tuple[str, ...],
    **changes: Any,
) -> int:
    """Returns when a dissolving group's head is told to abort its requests."""
    group = dataclasses.replace(
        builders.group(1, 2, phase=DISSOLVING), **changes
    )
    table = builders.server_table(*builders.member_reports(group, states))
    lifecycle = groups.GroupLifecycle()
    for waited_ms in range(0, 20_000, 100):
        now_ms = NOW_MS + waited_ms
        result = lifecycle.next_actions(group, table, active_heads, now_ms)
        if ("close_now", "s1") in orders(list(result)):
            return waited_ms
    raise AssertionError("the head is never told")


# Guards against: a group that is dissolved by a change or a planned stop cuts
# requests that its engines would have finished.
@pytest.mark.parametrize("waits_for_work", [True, False])
@pytest.mark.parametrize(
    ("states", "active_heads", "expected_ms"),
    [
        ([OPEN, READY], (), 10_000),
        ([CLOSING, READY], (), 10_000),
        ([CLOSING, None], (), 0),
        ([CLOSING, BROKEN], (), 0),
        ([CLOSING, None], ("s1",), 10_000),
        ([CLOSING, BROKEN], ("s1",), 10_000),
    ],
)
def test_requests_of_a_closing_head_may_end(
    states: list[model.MemberState | None],
    active_heads: tuple[str, ...],
    expected_ms: int,
    *,
    waits_for_work: bool,
) -> None:
    assert (
        first_close_now_ms(states, active_heads, waits_for_work=waits_for_work)
        == expected_ms
    )


# Guards against: a group whose servers were all silent for a second is told to
# abort its streams when they answer again, since it was dissolved meanwhile.
@pytest.mark.parametrize(
    ("states", "changes", "expected"),
    [
        ([OPEN, READY], {}, [SERVING]),
        ([OPEN, READY], {"waits_for_work": True}, []),
        ([OPEN, READY], {"is_preload": True}, []),
        ([OPEN, None], {}, []),
        ([OPEN, BROKEN], {}, []),
        ([CLOSING, READY], {}, []),
    ],
)
def test_group_whose_members_are_all_back_serves_again(
    states: list[model.MemberState | None],
    changes: dict[str, Any],
    expected: list[model.GroupPhase],
) -> None:
    group = dataclasses.replace(
        builders.group(1, 2, phase=DISSOLVING), **changes
    )
    table = builders.server_table(*builders.member_reports(group, states))
    for size, phases in ((2, expected), (4, []), (None, [])):
        result = groups.GroupLifecycle().next_actions(
            group, table, (), NOW_MS, size
        )
        assert phase_changes(list(result)) == phases


# Guards against: the head of a group that was dissolved for a silent member is
# told to abort its streams, or its members to leave, just before it goes on.
@pytest.mark.parametrize(
    ("silent", "order"),
    [("s2", ("close_now", "s1")), ("s1", ("leave", "s2"))],
)
def test_group_with_a_silent_member_is_left_alone_for_a_second(
    silent: str, order: tuple[str, str]
) -> None:
    group = builders.group(1, 2, phase=DISSOLVING)
    reports = builders.member_reports(group, [OPEN, READY])
    table = builders.server_table(*reports)
    table.mark_unreachable(model.BackendServerId(silent))
    lifecycle = groups.GroupLifecycle()
    for waited_ms in range(0, 1_000, 100):
        now_ms = NOW_MS + waited_ms
        assert not list(lifecycle.next_actions(group, table, (), now_ms, 2))
    result = lifecycle.next_actions(group, table, (), NOW_MS + 1_000, 2)
    assert orders(list(result)) == [order]


def test_group_with_a_restarted_member_is_not_left_alone() -> None:
    group = builders.group(1, 2, phase=DISSOLVING)
    head, _ = builders.member_reports(group, [OPEN, READY])
    table = builders.server_table(head, builders.engine_report(2, born_ms=500))
    result = groups.GroupLifecycle().next_actions(group, table, (), NOW_MS, 2)
    assert orders(list(result)) == [("close_now", "s1")]
