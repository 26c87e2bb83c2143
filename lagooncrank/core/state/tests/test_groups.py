"""Groups and documents in the replicated state."""

import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import state

SERVICE = model.ServiceName("writers")


def member(name: str) -> model.GroupMember:
    return model.GroupMember(model.BackendServerId(name), 1, f"{name}:80")


def form(*names: str, term: int = 1) -> state.FormGroup:
    return state.FormGroup(
        SERVICE, "large", tuple(member(n) for n in names), term
    )


def applied(*commands: state.Command) -> state.StateMachine:
    machine = state.StateMachine()
    for number, command in enumerate(commands):
        machine.apply(number + 1, command)
    return machine


def test_member_of_a_group_is_in_no_other() -> None:
    machine = applied(form("a", "b"))
    outcome = machine.apply(2, form("b", "c"))
    assert outcome.code is results.ResultCode.INSTANCE_TAKEN
    assert machine.apply(3, form("c", "d")).ok


def test_epochs_rise_over_all_groups() -> None:
    machine = applied(
        form("a"), state.SetGroupPhase("g1", None, 1), form("a"), form("b")
    )
    assert [g.epoch for g in machine.groups.values()] == [2, 3]


@pytest.mark.parametrize(
    "late",
    [
        form("x", term=1),
        state.SetGroupPhase("g1", None, 1),
        state.ReleaseMembers("g1", (model.BackendServerId("b"),), 1),
    ],
)
def test_word_of_a_deposed_leader_changes_nothing(late: state.Command) -> None:
    machine = applied(
        form("a", "b"),
        state.SetGroupPhase("g1", model.GroupPhase.DISSOLVING, 2),
    )
    before = dict(machine.groups)
    outcome = machine.apply(3, late)
    assert outcome.code is results.ResultCode.NOT_LEADER
    assert machine.groups == before


def test_only_members_of_a_dissolving_group_are_released() -> None:
    released = state.ReleaseMembers("g1", (model.BackendServerId("b"),), 1)
    machine = applied(form("a", "b"))
    assert not machine.apply(2, released).ok
    machine.apply(3, state.SetGroupPhase("g1", model.GroupPhase.DISSOLVING, 1))
    assert machine.apply(4, released).ok
    assert [m.server_id for m in machine.groups["g1"].members] == ["a"]
    head = state.ReleaseMembers("g1", (model.BackendServerId("a"),), 1)
    machine.apply(5, head)
    assert machine.groups["g1"].head.server_id == "a"


def test_highest_document_stays_whatever_the_order() -> None:
    machine = applied(
        state.PutDocument(7, b"seven"),
        state.PutDocument(5, b"five"),
        state.PutDocument(7, b"other"),
    )
    assert machine.document == state.Document(7, b"seven")


def test_snapshot_holds_groups_and_document() -> None:
    machine = applied(
        state.PutDocument(7, b"seven"), form("a", "b"), form("c", term=3)
    )
    copy = state.StateMachine.from_snapshot(machine.snapshot())
    assert copy.groups == machine.groups
    assert copy.document == machine.document
    outcome = copy.apply(4, form("d", term=2))
    assert outcome.code is results.ResultCode.NOT_LEADER
    assert copy.apply(5, form("d", term=3)).group is not None
    assert copy.groups["g3"].epoch == 3
