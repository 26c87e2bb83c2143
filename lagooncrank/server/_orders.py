"""Sends orders to model engines over HTTP."""

from collections.abc import Callable
import types
from typing import Final
from typing import Protocol

import aiohttp
import msgspec

from lagooncrank import model
from lagooncrank.core import placement

ORDER_TIMEOUT_S: Final = 2.0
_HTTP_OK: Final = 200
_HTTP_CONFLICT: Final = 409


class _Answer(msgspec.Struct):
    state: placement.OrderState
    fencing_number: int = 0


#: Returns whether orders may still be written.
Permission = Callable[[], bool]


class OrderSender(Protocol):
    """Brings an order to a model engine."""

    async def send(
        self, send: placement.OutgoingOrder, may_write: Permission
    ) -> placement.OrderResult:
        """Sends an order once and returns how that ended."""


class HttpOrderSender:
    """Sends each order over a connection of its own.

    A connection is never used twice, so no client library sends an order a
    second time by itself. The permission is asked again when the connection
    stands, for the process may have paused while it connected.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Opens the client session."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_check_permission)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
            trace_configs=[trace],
        )

    async def close(self) -> None:
        """Closes the client session."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self, send: placement.OutgoingOrder, may_write: Permission
    ) -> placement.OrderResult:
        """Sends an order once and returns how that ended."""
        return placement.OrderResult(
            instance_id=send.instance_id,
            order_id=send.order.order_id,
            state=await self._post(send, may_write),
        )

    async def _post(
        self, send: placement.OutgoingOrder, may_write: Permission
    ) -> placement.OrderState:
        assert self._session is not None
        url = f"http://{send.address}/orders"
        body = model.to_builtins(send.order)
        try:
            async with self._session.post(
                url, json=body, trace_request_ctx=may_write
            ) as response:
                data = await response.read()
                return _state_of(response.status, data)
        except (aiohttp.ClientConnectorError, _NotPermittedError):
            return placement.OrderState.UNREACHED
        except (TimeoutError, aiohttp.ClientError):
            return placement.OrderState.UNANSWERED


class _NotPermittedError(Exception):
    """The permission to write ended before anything was written."""


async def _check_permission(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    if not context.trace_request_ctx():
        raise _NotPermittedError


def _state_of(status: int, data: bytes) -> placement.OrderState:
    if status == _HTTP_CONFLICT:
        return placement.OrderState.STALE
    if status != _HTTP_OK:
        return placement.OrderState.FAILED
    try:
        return msgspec.json.decode(data, type=_Answer).state
    except msgspec.DecodeError:
        return placement.OrderState.FAILED
