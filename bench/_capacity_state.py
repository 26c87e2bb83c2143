"""Slopes of state: bytes in a snapshot and in memory per object."""

from collections.abc import Callable
from collections.abc import Iterator
import gc
import tracemalloc

from bench import _objects
from bench import _slopes
from bench import announcements
from lagooncrank.core import state

#: Distinct states cannot share what another measurement has cached.
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
        kept = build(size)
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        yield _slopes.Point(size, held)


def _with_accounts(accounts: int) -> state.StateMachine:
    declared = _objects.declarations(accounts)
    return _decoded(_objects.machine(_objects.apply_command(declared)))


def _with_models(models: int) -> state.StateMachine:
    declared = _objects.declarations(1, models)
    return _decoded(_objects.machine(_objects.apply_command(declared)))


def _with_replicas(replicas: int) -> state.StateMachine:
    puts = [
        state.PutReplica(_objects.replica(index), -1)
        for index in range(replicas)
    ]
    return _decoded(_objects.machine(*puts))


def _with_calls(calls: int) -> state.StateMachine:
    return _decoded(_objects.machine(*_objects.bookings(calls)))


def _decoded(machine: state.StateMachine) -> state.StateMachine:
    """Returns the state as one that arrived over the network."""
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
    return _snapshot_bytes(_with_calls)


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
    return _memory_bytes(_with_calls)


@_slopes.measurement(
    "memory_backend", "B", "backend server", "memory, membership table"
)
def _memory_backend() -> Iterator[_slopes.Point]:
    announcements.announcement(0, 0)
    return _memory_bytes(_objects.table)
