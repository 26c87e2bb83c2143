"""Slopes of the replicated state: bytes per object, in snapshot and memory."""

from collections.abc import Callable
from collections.abc import Iterator
import gc
import tracemalloc

from bench import _sample_objects
from bench import _slopes
from bench import announcements
from lagooncrank.core import state

#: Each size builds a distinct state, which cannot reuse objects that another
#: measurement has cached.
_SIZES = (100, 400, 1_600)


def _snapshot_bytes(
    build: Callable[[int], state.StateMachine],
) -> Iterator[_slopes.Point]:
    for size in _SIZES:
        yield _slopes.Point(size, len(build(size).snapshot()))


def _memory_bytes(
    build: Callable[[int], object],
) -> Iterator[_slopes.Point]:
    build(1)
    for size in _SIZES:
        gc.collect()
        tracemalloc.start()
        built = build(size)
        gc.collect()
        allocated_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del built
        yield _slopes.Point(size, allocated_bytes)


def _with_accounts(accounts: int) -> state.StateMachine:
    declared = _sample_objects.declarations(accounts)
    return _reloaded(
        _sample_objects.state_machine(_sample_objects.apply_command(declared))
    )


def _with_models(models: int) -> state.StateMachine:
    declared = _sample_objects.declarations(1, models)
    return _reloaded(
        _sample_objects.state_machine(_sample_objects.apply_command(declared))
    )


def _with_replicas(replicas: int) -> state.StateMachine:
    commands = [
        state.PutReplica(_sample_objects.replica(index), -1)
        for index in range(replicas)
    ]
    return _reloaded(_sample_objects.state_machine(*commands))


def _with_bookings(bookings: int) -> state.StateMachine:
    return _reloaded(
        _sample_objects.state_machine(
            *_sample_objects.booking_commands(bookings)
        )
    )


def _reloaded(machine: state.StateMachine) -> state.StateMachine:
    """Returns a copy of the state, decoded from its snapshot.

    As at a node that received the state over the network, no object of the
    copy is shared with the commands that built the original.
    """
    return state.StateMachine.from_snapshot(machine.snapshot())


@_slopes.measurement(
    "state_account", "B", "client account", "snapshot, one revision"
)
def _state_account() -> Iterator[_slopes.Point]:
    return _snapshot_bytes(_with_accounts)


@_slopes.measurement(
    "state_model", "B", "model service", "snapshot, one revision"
)
def _state_model() -> Iterator[_slopes.Point]:
    return _snapshot_bytes(_with_models)


@_slopes.measurement("state_replica", "B", "replica of 16", "snapshot")
def _state_replica() -> Iterator[_slopes.Point]:
    return _snapshot_bytes(_with_replicas)


@_slopes.measurement("state_call", "B", "finished booking", "snapshot")
def _state_call() -> Iterator[_slopes.Point]:
    return _snapshot_bytes(_with_bookings)


@_slopes.measurement(
    "memory_account", "B", "client account", "memory, one revision"
)
def _memory_account() -> Iterator[_slopes.Point]:
    return _memory_bytes(_with_accounts)


@_slopes.measurement(
    "memory_model", "B", "model service", "memory, one revision"
)
def _memory_model() -> Iterator[_slopes.Point]:
    return _memory_bytes(_with_models)


@_slopes.measurement("memory_replica", "B", "replica of 16", "memory")
def _memory_replica() -> Iterator[_slopes.Point]:
    return _memory_bytes(_with_replicas)


@_slopes.measurement("memory_call", "B", "finished booking", "memory")
def _memory_call() -> Iterator[_slopes.Point]:
    return _memory_bytes(_with_bookings)


@_slopes.measurement(
    "memory_backend", "B", "backend server", "memory, membership table"
)
def _memory_backend() -> Iterator[_slopes.Point]:
    announcements.announcement(0, 0)
    return _memory_bytes(_sample_objects.membership_table)
