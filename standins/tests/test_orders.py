"""Order handling of the simulated engine."""

import pytest

from lagooncrank import model
from lagooncrank.core import placement
from standins import _orders

State = placement.OrderState


def order(
    fencing_number: int, kind: str = "load", rank: int = 0
) -> placement.Order:
    return placement.Order(
        order_id=f"{kind}-{fencing_number}-{rank}",
        kind=placement.OrderKind(kind),
        replica_id=model.ReplicaId("r"),
        service=model.ServiceName("drafts"),
        version="v1",
        fencing_number=fencing_number,
        rank=rank,
        weight_bytes=100,
    )


@pytest.mark.parametrize(
    ("checks_fencing", "state"),
    [
        pytest.param(True, State.STALE, id="checks"),
        pytest.param(False, State.ACCEPTED, id="ignores"),
    ],
)
def test_order_with_an_old_fencing_number(
    checks_fencing: bool, state: State
) -> None:
    executor = _orders.OrderExecutor(checks_fencing=checks_fencing)
    executor.execute(order(5))
    assert executor.execute(order(4, rank=1)).state is state


def test_resent_order_is_executed_once() -> None:
    executor = _orders.OrderExecutor(checks_fencing=False)
    assert executor.execute(order(5)).state is State.ACCEPTED
    executor.add_loaded_bytes(100)
    assert executor.execute(order(5)).state is State.DONE
    assert len(executor.executed) == 1


def test_load_order_for_the_same_weights_keeps_them() -> None:
    executor = _orders.OrderExecutor(checks_fencing=True)
    executor.execute(order(5))
    executor.add_loaded_bytes(100)
    assert executor.execute(order(6)).state is State.DONE
    assert executor.execute(order(7, rank=1)).state is State.ACCEPTED
    assert executor.missing_bytes == 100


def test_unload_aborts_a_running_load() -> None:
    executor = _orders.OrderExecutor(checks_fencing=True)
    executor.execute(order(5))
    assert executor.execute(order(6, "unload")).state is State.DONE
    assert executor.loaded is None
    assert executor.execute(order(5)).state is State.FAILED
