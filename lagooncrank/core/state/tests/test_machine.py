import dataclasses
import itertools

import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import state
from lagooncrank.core.state import _answer_budget
from lagooncrank.core.state import _configuration

Code = results.ResultCode
CALL = state.CallKey(
    model.ClientAccountId("parish"), model.ServiceName("bookings"), "k1"
)
OWNER_A = state.CallOwner(model.NodeId("a"), 1, 1)
OWNER_B = state.CallOwner(model.NodeId("b"), 1, 1)
ANSWER = state.StoredAnswer(201, "application/json", b"{}")


def reserve(
    owner: state.CallOwner = OWNER_A, digest: bytes = b"d1", wall_ms: int = 0
) -> state.ReserveCall:
    return state.ReserveCall(CALL, digest, owner, wall_ms, retention_ms=1_000)


def finish(
    to: state.CallState, owner: state.CallOwner = OWNER_A
) -> state.FinishCall:
    answer = ANSWER if to is state.CallState.FINISHED else None
    return state.FinishCall(CALL, owner, to, wall_ms=10, answer=answer)


def record_incarnation(
    node: str, wall_ms: int, incarnation: int = 1
) -> state.RecordEntryIncarnation:
    return state.RecordEntryIncarnation(
        model.NodeId(node), incarnation, wall_ms
    )


def resolve() -> state.ResolveCall:
    return state.ResolveCall(CALL, state.CallState.FINISHED, 10, ANSWER)


def apply_declarations(
    change_id: str, base_revision: int, share: int = 1
) -> state.ApplyDeclarations:
    account = model.ClientAccount(
        model.ClientAccountId("parish"), key_sha256s=(), share=share
    )
    return state.ApplyDeclarations(
        change_id,
        base_revision,
        model.Declarations(client_accounts=(account,)),
        author="op",
        wall_ms=0,
    )


def replica(
    replica_id: str, instances: str, fencing_number: int, epoch: int = 0
) -> model.Replica:
    return model.Replica(
        replica_id=model.ReplicaId(replica_id),
        service=model.ServiceName("drafts"),
        version="1",
        fabric_domain_id=model.FabricDomainId("fab"),
        instances=tuple(model.InstanceId(i) for i in instances),
        backend_servers=tuple(model.BackendServerId(i) for i in instances),
        fencing_number=fencing_number,
        epoch=epoch,
    )


def put_replica(
    replica_id: str, instances: str, fencing_number: int, epoch: int = 0
) -> state.PutReplica:
    new_replica = replica(replica_id, instances, fencing_number, epoch)
    return state.PutReplica(new_replica, base_epoch=epoch - 1)


FINISHED = state.CallState.FINISHED
NOT_RUN = state.CallState.NOT_RUN
UNKNOWN = state.CallState.UNKNOWN

CASES = {
    "reserve_once": ([], reserve(), Code.OK),
    "reserve_again_by_owner": ([reserve()], reserve(), Code.OK),
    "reserve_by_other": ([reserve()], reserve(OWNER_B), Code.CALL_IN_PROGRESS),
    "other_body": ([reserve()], reserve(OWNER_B, b"d2"), Code.KEY_REUSED),
    "after_finish": (
        [reserve(), finish(FINISHED)],
        reserve(OWNER_B),
        Code.CALL_ALREADY_FINISHED,
    ),
    "after_not_run": ([reserve(), finish(NOT_RUN)], reserve(OWNER_B), Code.OK),
    "after_unknown": (
        [reserve(), finish(UNKNOWN)],
        reserve(OWNER_B),
        Code.OUTCOME_UNKNOWN,
    ),
    "after_retention": (
        [reserve(), finish(FINISHED), record_incarnation("c", 1_010)],
        reserve(OWNER_B, wall_ms=1_010),
        Code.OK,
    ),
    "before_retention": (
        [reserve(), finish(FINISHED), record_incarnation("c", 1_009)],
        reserve(OWNER_B, wall_ms=1_010),
        Code.CALL_ALREADY_FINISHED,
    ),
    "single_fast_clock_expires_nothing": (
        [reserve(), finish(FINISHED), record_incarnation("c", 20)],
        reserve(OWNER_B, wall_ms=10**12),
        Code.CALL_ALREADY_FINISHED,
    ),
    "slow_clock_does_not_shorten_retention": (
        [
            record_incarnation("c", 5_000),
            record_incarnation("d", 5_000),
            reserve(),
            finish(FINISHED),
        ],
        reserve(OWNER_B, wall_ms=5_999),
        Code.CALL_ALREADY_FINISHED,
    ),
    "reservation_before_owner_restart": (
        [reserve(), record_incarnation("a", 10, incarnation=2)],
        reserve(OWNER_B),
        Code.OUTCOME_UNKNOWN,
    ),
    "late_answer_after_owner_restart": (
        [reserve(), record_incarnation("a", 10, incarnation=2)],
        finish(FINISHED),
        Code.OK,
    ),
    "reservation_by_superseded_incarnation": (
        [record_incarnation("a", 10, incarnation=2)],
        reserve(),
        Code.SEND_WINDOW_PASSED,
    ),
    "unknown_outlives_retention": (
        [reserve(), finish(UNKNOWN)],
        reserve(OWNER_B, wall_ms=10**12),
        Code.OUTCOME_UNKNOWN,
    ),
    "reservation_after_abandonment": (
        [finish(NOT_RUN)],
        reserve(),
        Code.SEND_WINDOW_PASSED,
    ),
    "not_run_by_other": (
        [reserve()],
        finish(NOT_RUN, OWNER_B),
        Code.NOT_THE_OWNER,
    ),
    "late_answer_of_owner": (
        [reserve(), finish(UNKNOWN)],
        finish(FINISHED),
        Code.OK,
    ),
    "not_run_after_unknown": (
        [reserve(), finish(UNKNOWN)],
        finish(NOT_RUN),
        Code.CALL_ALREADY_FINISHED,
    ),
    "resolve_unknown": ([reserve(), finish(UNKNOWN)], resolve(), Code.OK),
    "resolve_not_run": (
        [reserve(), finish(NOT_RUN)],
        resolve(),
        Code.UNKNOWN_RESOURCE,
    ),
    "first_revision": ([], apply_declarations("c1", 0), Code.OK),
    "same_base_twice": (
        [apply_declarations("c1", 0)],
        apply_declarations("c2", 0),
        Code.REVISION_CONFLICT,
    ),
    "resent_change": (
        [apply_declarations("c1", 0)],
        apply_declarations("c1", 0),
        Code.OK,
    ),
    "change_id_with_other_content": (
        [apply_declarations("c1", 0)],
        apply_declarations("c1", 1, share=2),
        Code.CHANGE_ID_REUSED,
    ),
    "new_replica": ([], put_replica("r1", "ab", 1), Code.OK),
    "instance_taken": (
        [put_replica("r1", "ab", 1)],
        put_replica("r2", "bc", 2),
        Code.INSTANCE_TAKEN,
    ),
    "instance_twice": ([], put_replica("r1", "aa", 1), Code.INSTANCE_TAKEN),
    "stale_fencing_number": (
        [put_replica("r1", "ab", 5)],
        put_replica("r2", "cd", 5),
        Code.STALE_FENCING_NUMBER,
    ),
    "wrong_epoch": (
        [put_replica("r1", "ab", 1)],
        put_replica("r1", "ab", 1, epoch=2),
        Code.WRONG_EPOCH,
    ),
}


@pytest.mark.parametrize(
    ("before", "command", "code"), CASES.values(), ids=CASES.keys()
)
def test_apply(
    before: list[state.Command], command: state.Command, code: Code
) -> None:
    machine = state.StateMachine()
    for index, earlier in enumerate(before, start=1):
        assert machine.apply(index, earlier).ok
    outcome = machine.apply(len(before) + 1, command)
    assert outcome.code is code
    restored = state.StateMachine.from_snapshot(machine.snapshot())
    assert restored.snapshot() == machine.snapshot()


@pytest.mark.parametrize(
    "command",
    [
        reserve(),
        finish(FINISHED),
        resolve(),
        apply_declarations("c1", 0),
        put_replica("r1", "ab", 1),
        state.RecordContentCrash(b"d", "r1", 0, 10),
        state.ClearContentCrashes(b"d"),
        state.DrainInstance(model.InstanceId("i1"), 5),
        state.EndDrain(model.InstanceId("i1")),
    ],
    ids=lambda command: type(command).__name__,
)
def test_command_round_trips_through_encoding(command: state.Command) -> None:
    assert state.decode_command(state.encode_command(command)) == command


def test_unknown_command_is_refused() -> None:
    data = model.to_cbor(("from_the_future", {}))
    with pytest.raises(state.UnknownCommandError, match="from_the_future"):
        state.decode_command(data)


def test_gap_in_the_log_is_refused() -> None:
    with pytest.raises(ValueError, match="2 does not follow 0"):
        state.StateMachine().apply(2, state.NoOp())


def test_draining_replica_keeps_its_instances() -> None:
    machine = state.StateMachine()
    machine.apply(1, put_replica("r1", "ab", 1))
    draining = dataclasses.replace(
        replica("r1", "ab", 1, epoch=1), state=model.ReplicaState.DRAINING
    )
    assert machine.apply(2, state.PutReplica(draining, 0)).ok
    taken = machine.apply(3, put_replica("r2", "bc", 2))
    assert taken.code is Code.INSTANCE_TAKEN


def test_crash_record_lists_distinct_targets_and_expires() -> None:
    machine = state.StateMachine()
    for index, victim in enumerate(["r1", "r1", "r2"], start=1):
        machine.apply(index, state.RecordContentCrash(b"d", victim, 0, 100))
    assert machine.crash_records[b"d"].victims == ("r1", "r2")
    machine.apply(4, state.RecordContentCrash(b"e", "r1", 100, 200))
    assert set(machine.crash_records) == {b"e"}


def test_drain_survives_snapshot_until_ended() -> None:
    instance_id = model.InstanceId("i1")
    machine = state.StateMachine()
    assert machine.apply(1, state.DrainInstance(instance_id, 5)).ok
    assert machine.apply(2, state.DrainInstance(instance_id, 9)).ok
    restored = state.StateMachine.from_snapshot(machine.snapshot())
    assert restored.drains[instance_id].wall_ms == 5
    assert restored.apply(3, state.EndDrain(instance_id)).ok
    assert not restored.drains


def test_stored_answers_of_an_account_are_bounded() -> None:
    machine = state.StateMachine()
    body = bytes(_answer_budget.MAX_ANSWER_BYTES_PER_ACCOUNT // 2)
    answer = state.StoredAnswer(200, "text/plain", body)
    calls = [dataclasses.replace(CALL, key=f"k{n}") for n in range(3)]
    index = itertools.count(1)
    for wall_ms, call in enumerate(calls, start=1):
        owner = dataclasses.replace(OWNER_A, sequence=wall_ms)
        machine.apply(
            next(index), state.ReserveCall(call, b"d", owner, wall_ms, 1_000)
        )
        machine.apply(
            next(index),
            state.FinishCall(call, owner, FINISHED, wall_ms, answer),
        )
        machine = state.StateMachine.from_snapshot(machine.snapshot())
    records = [machine.call(call) for call in calls]
    has_answer = [r is not None and r.answer is not None for r in records]
    assert has_answer == [False, True, True]
    retry = state.ReserveCall(calls[0], b"d", OWNER_B, 4, 1_000)
    outcome = machine.apply(next(index), retry)
    assert outcome.code is Code.CALL_ALREADY_FINISHED


def test_change_resent_after_its_revision_was_dropped() -> None:
    machine = state.StateMachine()
    last = _configuration.MAX_REVISIONS + 1
    for revision in range(last):
        machine.apply(
            revision + 1, apply_declarations(f"c{revision}", revision)
        )
    machine = state.StateMachine.from_snapshot(machine.snapshot())
    assert machine.history()[0].change_id == "c1"
    resent = machine.apply(last + 1, apply_declarations("c0", 0))
    assert (resent.code, resent.revision) == (Code.OK, 1)
    reused = machine.apply(last + 2, apply_declarations("c0", 0, share=2))
    assert reused.code is Code.CHANGE_ID_REUSED
    assert machine.configuration is not None
    assert machine.configuration.revision == last


def test_instance_of_an_ended_replica_can_be_assigned_again() -> None:
    machine = state.StateMachine()
    machine.apply(1, put_replica("r1", "ab", 1))
    lost = replica("r1", "ab", 1, epoch=1).with_changes(
        state=model.ReplicaState.LOST
    )
    assert machine.apply(2, state.PutReplica(lost, 0)).ok
    assert machine.apply(3, put_replica("r2", "bc", 2)).ok
    machine = state.StateMachine.from_snapshot(machine.snapshot())
    taken = machine.apply(4, put_replica("r3", "c", 3))
    assert taken.code is Code.INSTANCE_TAKEN
    assert taken.replica is not None
    assert taken.replica.replica_id == "r2"
