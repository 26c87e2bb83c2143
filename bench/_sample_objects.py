"""Sample objects of typical size for the capacity measurements."""

import hashlib
import itertools

from bench import announcements
from lagooncrank import model
from lagooncrank.core import membership
from lagooncrank.core import state

NODE = model.NodeId("node-000")
#: Size of a booking's stored answer.
ANSWER_BYTES = 200
INSTANCES_PER_REPLICA = 16
_DAY_MS = 86_400_000


def account(index: int) -> model.ClientAccount:
    """Returns a client account that may use two services."""
    digest = hashlib.sha256(str(index).encode()).hexdigest()
    return model.ClientAccount(
        name=model.ClientAccountId(f"account-{index:05d}"),
        key_sha256s=(digest,),
        share=10,
        services=(model.ServiceName("drafts"), model.ServiceName("booking")),
    )


def model_service(index: int) -> model.ModelService:
    """Returns a model service."""
    return model.ModelService(
        name=model.ServiceName(f"drafts-{index:03d}"),
        version="v3",
        replicas=5,
        replicas_floor=4,
        instances_per_replica=INSTANCES_PER_REPLICA,
    )


def declarations(accounts: int, models: int = 1) -> model.Declarations:
    """Returns declarations of some client accounts and model services.

    Args:
        accounts: Number of client accounts.
        models: Number of model services.
    """
    return model.Declarations(
        model_services=tuple(map(model_service, range(models))),
        client_accounts=tuple(map(account, range(accounts))),
    )


def apply_command(
    declared: model.Declarations, base_revision: int = 0
) -> state.ApplyDeclarations:
    """Returns the command that changes the configuration to `declared`."""
    return state.ApplyDeclarations(
        change_id=f"change-{base_revision:028d}",
        base_revision=base_revision,
        declarations=declared,
        author="operator",
        wall_ms=1_700_000_000_000,
    )


def replica(index: int) -> model.Replica:
    """Returns a serving replica of 16 instances."""
    first = index * INSTANCES_PER_REPLICA
    members = range(first, first + INSTANCES_PER_REPLICA)
    return model.Replica(
        replica_id=model.ReplicaId(f"drafts-{index:04d}"),
        service=model.ServiceName("drafts"),
        version="v3",
        fabric_domain_id=model.FabricDomainId(f"fabric-{index // 4:03d}"),
        instances=tuple(model.InstanceId(f"instance-{i:05d}") for i in members),
        backend_servers=tuple(
            model.BackendServerId(f"engine-{i:05d}") for i in members
        ),
        fencing_number=index + 1,
        state=model.ReplicaState.SERVING,
    )


def reserve_command(index: int) -> state.ReserveCall:
    """Returns the command that reserves one booking."""
    return state.ReserveCall(
        call=_call(index),
        body_digest=hashlib.sha256(str(index).encode()).digest(),
        owner=_owner(index),
        wall_ms=1_700_000_000_000,
        retention_ms=_DAY_MS,
    )


def finish_command(index: int) -> state.FinishCall:
    """Returns the command that finishes one booking and stores its answer."""
    answer = state.StoredAnswer(201, "application/json", b"x" * ANSWER_BYTES)
    return state.FinishCall(
        call=_call(index),
        owner=_owner(index),
        state=state.CallState.FINISHED,
        wall_ms=1_700_000_000_000,
        answer=answer,
    )


def state_machine(*commands: state.Command) -> state.StateMachine:
    """Returns a state machine that has applied the commands.

    Raises:
        ValueError: The state machine rejected one of the commands.
    """
    machine = state.StateMachine()
    for index, command in enumerate(commands, start=1):
        outcome = machine.apply(index, command)
        if not outcome.ok:
            raise ValueError(f"{command} was rejected: {outcome}")
    return machine


def booking_commands(count: int) -> list[state.Command]:
    """Returns the commands that reserve and finish a number of bookings."""
    pairs = (
        (reserve_command(index), finish_command(index))
        for index in range(count)
    )
    return list(itertools.chain.from_iterable(pairs))


def membership_table(
    backend_servers: int, now_ms: int = 0
) -> membership.MembershipTable:
    """Returns a table with one announcement received from each server."""
    table = membership.MembershipTable(NODE, 1, model.LeaseRules())
    for index in range(backend_servers):
        table.record_announcement(announcements.announcement(index, 1), now_ms)
    return table


def _call(index: int) -> state.CallKey:
    return state.CallKey(
        model.ClientAccountId(f"account-{index % 500:05d}"),
        model.ServiceName("booking"),
        f"0b1f8a52-7c1e-4d9a-9c3e-{index:012d}",
    )


def _owner(index: int) -> state.CallOwner:
    return state.CallOwner(NODE, 1_700_000_000_000, index)
