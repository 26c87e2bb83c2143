"""No reader of responses takes bytes of a server in trouble for one."""

from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import results
from lagooncrank.core import placement
from lagooncrank.core import retry
from lagooncrank.core import timeouts
from lagooncrank.server import _at_most_once_client
from lagooncrank.server import _attempts
from lagooncrank.server import _bounded_http
from lagooncrank.server import _engine_stream
from lagooncrank.server import _orders
from lagooncrank.server import _plain_client
from lagooncrank.server import _pools
from lagooncrank.server.tests import harness as harnesses
from lagooncrank.server.tests import malformed_heads
from lagooncrank.server.tests import raw_server

#: Much longer than any step takes, so that only a fault exceeds it.
TIMEOUT_MS = 30_000
FIRST_BYTE = timeouts.TimeoutBounds(TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS)
REQUEST = _plain_client.PlainRequest("GET", "/x", (), b"")
pytestmark = pytest.mark.usefixtures("each_parser")
ANSWERS = malformed_heads.ANSWERS
Code = results.ResultCode
Call = Callable[[str], Awaitable[None]]


def new_server(name: str) -> raw_server.RawServer:
    return raw_server.RawServer([ANSWERS[name]], resets=False)


async def call_repeatable(address: str) -> None:
    pools = _pools.ConnectionPools(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    try:
        client = _plain_client.PlainClient(pools)
        await client.call(address, REQUEST, TIMEOUT_MS)
    finally:
        await pools.on_stop()


async def call_once(address: str) -> None:
    client = _at_most_once_client.AtMostOnceClient(
        observed_time.ObservedClock(clocks.SystemClock())
    )
    await client.send(address, REQUEST, TIMEOUT_MS, lambda: None)


async def open_stream(address: str) -> None:
    clock = clocks.SystemClock()
    observed_clock = observed_time.ObservedClock(clock)
    stream = _engine_stream.EngineStream(
        timeouts.AdaptiveTimeout(FIRST_BYTE),
        timeouts.AdaptiveTimeout(FIRST_BYTE),
        clock,
        observed_clock,
    )
    async with _pools.open_session(observed_clock, force_close=True) as session:
        await stream.open(session, f"http://{address}/v1/generate", b"{}")


# Guards against: the calls of a daemon returned them, and an engine's stream
# began with them.
@pytest.mark.parametrize("call", [call_repeatable, call_once, open_stream])
@pytest.mark.parametrize("name", ANSWERS)
async def test_attempt_of_a_daemon(call: Call, name: str) -> None:
    async with new_server(name).running() as address:
        with pytest.raises(_attempts.AttemptFailedError) as caught:
            await call(address)
    failure = caught.value.failure
    assert failure.kind is retry.FailureKind.PROTOCOL_ERROR
    assert failure.bytes_written
    assert malformed_heads.MARK.decode() not in failure.detail


# Guards against: an order whose answer was none counted as failed or stale.
@pytest.mark.parametrize("name", ANSWERS)
async def test_order(name: str) -> None:
    order = placement.Order(
        order_id="i1/1/1/load/0",
        kind=placement.OrderKind.LOAD,
        replica_id=model.ReplicaId("r"),
        service=model.ServiceName("drafts"),
        version="v1",
        fencing_number=1,
        weight_bytes=10,
    )
    sender = _orders.HttpOrderSender()
    await sender.open()
    async with new_server(name).running() as address:
        outgoing = placement.OutgoingOrder(
            model.InstanceId("i1"), address, order
        )
        result = await sender.send(outgoing, lambda: True)
    await sender.close()
    assert result.state is placement.OrderState.UNANSWERED


async def read_problem(
    harness: harnesses.DaemonHarness, service: str, **headers: str
) -> dict[str, str]:
    """Returns the failure that a caller reads."""
    url = harness.url(f"/v1/services/{service}/x")
    async with harness.session.post(
        url, headers={**harnesses.HEADERS, **headers}
    ) as response:
        raw = await response.read()
        assert malformed_heads.MARK not in raw
        assert response.status >= 500
        problem: dict[str, str] = await response.json()
    return problem


# Guards against: callers got them, or a booking was stored with one as its
# answer and given to the repeats of the call.
@pytest.mark.parametrize("name", ANSWERS)
async def test_caller_of_a_daemon(
    harness: harnesses.DaemonHarness, name: str
) -> None:
    harness.booking.raw_response = ANSWERS[name]
    problem = await read_problem(harness, harnesses.STATUS)
    assert problem["ran"] == "unknown"
    key = {"Idempotency-Key": f"k-{name}"}
    problem = await read_problem(harness, harnesses.BOOKING, **key)
    assert problem["ran"] == "unknown"
    harness.booking.raw_response = None
    problem = await read_problem(harness, harnesses.BOOKING, **key)
    assert problem["ran"] == "unknown"
    assert len(harness.booking.runs[key["Idempotency-Key"]]) == 1


async def test_malformed_responses_are_counted() -> None:
    before = count("status")
    async with new_server("000").running() as address:
        with pytest.raises(_attempts.AttemptFailedError):
            await call_repeatable(address)
    assert count("status") > before


def count(problem: str) -> float:
    counter = _bounded_http.MALFORMED_RESPONSES.labels(problem)
    value: float = counter._value.get()
    return value
