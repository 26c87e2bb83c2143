"""Sending of orders to model engines over HTTP."""

from collections.abc import Callable
import types
from typing import Final
from typing import Protocol

import aiohttp
import msgspec

from lagooncrank import model
from lagooncrank.core import placement
from lagooncrank.server import _bounded_http

ORDER_TIMEOUT_S: Final = 2.0
#: A reply has less than 100 bytes.
MAX_REPLY_BYTES: Final = 65_536
_HTTP_OK: Final = 200
_HTTP_CONFLICT: Final = 409


class _OrderReply(msgspec.Struct):
    state: placement.OrderState
    fencing_number: int = 0


#: Returns whether an order may still be written to a connection.
WritePermission = Callable[[], bool]


class OrderSender(Protocol):
    """Sends orders to model engines."""

    async def send(
        self, outgoing: placement.OutgoingOrder, may_write: WritePermission
    ) -> placement.OrderResult:
        """Sends an order once and returns the result."""


class HttpOrderSender:
    """Sends each order over its own connection.

    Connections are not reused, because HTTP client libraries may resend a
    request when a reused connection fails. The permission is checked again
    once the connection is established, because the process may have been
    paused while it connected.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Opens the client session."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_check_permission)
        self._session = _bounded_http.open_session(
            _bounded_http.BoundedConnector(force_close=True),
            aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
            trace_configs=[trace],
        )

    async def close(self) -> None:
        """Closes the client session."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self, outgoing: placement.OutgoingOrder, may_write: WritePermission
    ) -> placement.OrderResult:
        """Sends an order once and returns the result."""
        return placement.OrderResult(
            instance_id=outgoing.instance_id,
            order_id=outgoing.order.order_id,
            state=await self._post(outgoing, may_write),
        )

    async def _post(
        self, outgoing: placement.OutgoingOrder, may_write: WritePermission
    ) -> placement.OrderState:
        assert self._session is not None
        url = f"http://{outgoing.address}/orders"
        body = model.to_builtins(outgoing.order)
        try:
            async with self._session.post(
                url, json=body, trace_request_ctx=may_write
            ) as response:
                response_body = await _bounded_http.read_body(
                    response, MAX_REPLY_BYTES
                )
                return _parse_state(response.status, response_body)
        except (aiohttp.ClientConnectorError, _NotPermittedError):
            return placement.OrderState.UNREACHED
        except (TimeoutError, aiohttp.ClientError):
            return placement.OrderState.UNANSWERED


class _NotPermittedError(Exception):
    """The permission expired before anything was written."""


async def _check_permission(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    if not context.trace_request_ctx():
        raise _NotPermittedError


def _parse_state(status: int, response_body: bytes) -> placement.OrderState:
    if status == _HTTP_CONFLICT:
        return placement.OrderState.STALE
    if status != _HTTP_OK:
        return placement.OrderState.FAILED
    try:
        return msgspec.json.decode(response_body, type=_OrderReply).state
    except msgspec.DecodeError:
        return placement.OrderState.FAILED
