"""Tells requests how their connections come about, before they are written."""

from collections.abc import Callable
import dataclasses
import types
from typing import Protocol

import aiohttp


class ConnectionObserver(Protocol):
    """Is told how the connection for one attempt comes about."""

    def on_connecting(self) -> None:
        """Called when a connection is being opened."""

    def on_connected(self) -> None:
        """Called when the connection is open."""


@dataclasses.dataclass(slots=True)
class SendContext:
    """What belongs to one request while its connection comes about."""

    #: Is told whether a connection is opened; None for nobody.
    observer: ConnectionObserver | None = None
    #: Raises an error if the request must not be sent any more; called when
    #: a connection was opened for it, which takes time.
    check_before_send: Callable[[], None] | None = None
    #: Whether a connection was opened for the request.
    has_connected: bool = False


def trace_config() -> aiohttp.TraceConfig:
    """Returns hooks that use the `SendContext` of each request."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_on_connecting)
    config.on_connection_create_end.append(_on_connected)
    # The library calls it before it writes the headers, and closes the
    # connection if it fails.
    config.on_request_headers_sent.append(_on_sending)
    return config


async def _on_connecting(
    _session: aiohttp.ClientSession,
    trace: types.SimpleNamespace,
    _params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    context: SendContext | None = trace.trace_request_ctx
    if context is not None and context.observer is not None:
        context.observer.on_connecting()


async def _on_connected(
    _session: aiohttp.ClientSession,
    trace: types.SimpleNamespace,
    _params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    context: SendContext | None = trace.trace_request_ctx
    if context is None:
        return
    context.has_connected = True
    if context.observer is not None:
        context.observer.on_connected()


async def _on_sending(
    _session: aiohttp.ClientSession,
    trace: types.SimpleNamespace,
    _params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    context: SendContext | None = trace.trace_request_ctx
    if context is None or not context.has_connected:
        return
    if context.check_before_send is not None:
        context.check_before_send()
