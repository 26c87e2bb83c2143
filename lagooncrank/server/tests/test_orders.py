import asyncio
from typing import Any

from aiohttp import test_utils
from aiohttp import web
import pytest

from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.server import _orders
from lagooncrank.server.tests import stream_servers
from standins import _orders as engine_orders

State = placement.OrderState


def make_order(address: str, number: int) -> placement.OutgoingOrder:
    order = placement.Order(
        order_id=f"i1/1/{number}/load/0",
        kind=placement.OrderKind.LOAD,
        replica_id=model.ReplicaId("r"),
        service=model.ServiceName("drafts"),
        version="v1",
        fencing_number=number,
        weight_bytes=10,
    )
    return placement.OutgoingOrder(model.InstanceId("i1"), address, order)


async def send_order(
    address: str, number: int, may_write: bool = True
) -> State:
    sender = _orders.HttpOrderSender()
    await sender.open()
    try:
        order = make_order(address, number)
        return (await sender.send(order, lambda: may_write)).state
    finally:
        await sender.close()


def engine_app(order_executor: engine_orders.OrderExecutor) -> web.Application:
    async def handle(request: web.Request) -> web.Response:
        order = model.from_builtins(await request.json(), placement.Order)
        reply = order_executor.execute(order)
        stale = reply.state is State.STALE
        body = model.to_builtins(reply)
        return web.json_response(body, status=409 if stale else 200)

    app = web.Application()
    app.router.add_post("/orders", handle)
    return app


def static_app(**response_options: Any) -> web.Application:
    async def handle(request: web.Request) -> web.Response:
        return web.Response(**response_options)

    app = web.Application()
    app.router.add_post("/orders", handle)
    return app


async def test_orders_and_results_are_sent_over_http() -> None:
    order_executor = engine_orders.OrderExecutor(checks_fencing=True)
    async with test_utils.TestServer(engine_app(order_executor)) as server:
        address = f"{server.host}:{server.port}"
        assert await send_order(address, 5) is State.ACCEPTED
        assert await send_order(address, 4) is State.STALE
        assert await send_order(address, 5) is State.ACCEPTED
    assert [order.fencing_number for order in order_executor.executed] == [5]


@pytest.mark.parametrize(
    ("response_options", "state"),
    [
        pytest.param({"status": 500}, State.FAILED, id="error"),
        pytest.param({"text": "no JSON"}, State.FAILED, id="no_json"),
        pytest.param({"text": '{"state": "x"}'}, State.FAILED, id="state"),
    ],
)
async def test_invalid_response_is_a_failure(
    response_options: dict[str, Any], state: State
) -> None:
    async with test_utils.TestServer(static_app(**response_options)) as server:
        assert await send_order(f"{server.host}:{server.port}", 1) is state


async def test_refused_connection_is_unreached() -> None:
    async with test_utils.TestServer(static_app()) as server:
        address = f"{server.host}:{server.port}"
    assert await send_order(address, 1) is State.UNREACHED


async def test_connection_closed_without_response_is_unanswered() -> None:
    async def close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readline()
        writer.close()

    async with stream_servers.running(close) as address:
        assert await send_order(address, 1) is State.UNANSWERED


async def test_order_is_not_written_without_permission() -> None:
    order_executor = engine_orders.OrderExecutor(checks_fencing=False)
    async with test_utils.TestServer(engine_app(order_executor)) as server:
        address = f"{server.host}:{server.port}"
        assert await send_order(address, 5, may_write=False) is State.UNREACHED
    assert order_executor.executed == []
