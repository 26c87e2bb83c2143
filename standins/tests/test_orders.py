import pytest

from lagooncrank import model
from lagooncrank.core import placement
from standins import _orders

State = placement.OrderState


def order(number: int, kind: str = "load", rank: int = 0) -> placement.Order:
    return placement.Order(
        order_id=f"{kind}-{number}-{rank}",
        kind=placement.OrderKind(kind),
        replica_id=model.ReplicaId("r"),
        service=model.ServiceName("drafts"),
        version="v1",
        fencing_number=number,
        rank=rank,
        weight_bytes=100,
    )


@pytest.mark.parametrize(
    ("checks", "state"),
    [
        pytest.param(True, State.STALE, id="checks"),
        pytest.param(False, State.ACCEPTED, id="ignores"),
    ],
)
def test_old_number(checks: bool, state: State) -> None:
    order_executor = _orders.OrderExecutor(checks_fencing=checks)
    order_executor.execute(order(5))
    assert order_executor.execute(order(4, rank=1)).state is state


def test_resent_order_is_carried_out_once() -> None:
    order_executor = _orders.OrderExecutor(checks_fencing=False)
    assert order_executor.execute(order(5)).state is State.ACCEPTED
    order_executor.add_loaded_bytes(100)
    assert order_executor.execute(order(5)).state is State.DONE
    assert len(order_executor.executed) == 1


def test_same_rank_and_version_keeps_the_weights() -> None:
    order_executor = _orders.OrderExecutor(checks_fencing=True)
    order_executor.execute(order(5))
    order_executor.add_loaded_bytes(100)
    assert order_executor.execute(order(6)).state is State.DONE
    assert order_executor.execute(order(7, rank=1)).state is State.ACCEPTED
    assert order_executor.missing_bytes == 100


def test_unload_ends_a_running_load() -> None:
    order_executor = _orders.OrderExecutor(checks_fencing=True)
    order_executor.execute(order(5))
    assert order_executor.execute(order(6, "unload")).state is State.DONE
    assert order_executor.loaded is None
    assert order_executor.execute(order(5)).state is State.FAILED
