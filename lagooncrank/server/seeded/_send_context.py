"""Tells requests how their connections come about, before they are written."""

from collections.abc import Callable
import dataclasses
import types
from typing import Protocol

import aiohttp
from aiohttp import abc


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
    #: Raises an error if the request must not be sent any more.
    check_before_send: Callable[[], None] | None = None
    #: Whether a connection was opened for the request.
    has_connected: bool = False
    #: Error that prevented the request; nothing of it was sent then.
    prevented: Exception | None = None

    def check(self) -> None:
        """Checks that the request may still be sent.

        Raises:
            Exception: It may not; the error of `check_before_send`.
        """
        if self.check_before_send is None:
            return
        try:
            self.check_before_send()
        except Exception as error:
            self.prevented = error
            raise


class GuardedBody(aiohttp.BytesPayload):
    """Body that checks its request once more in the step that writes it.

    The library writes the head together with the body, in a task of its own:
    a step of the event loop after it was told to send.
    """

    def __init__(self, body: bytes, context: SendContext) -> None:
        super().__init__(body)
        self._context = context

    async def write_with_length(
        self,
        writer: abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Writes the body, unless the request may not be sent any more."""
        self._context.check()
        await super().write_with_length(writer, content_length)


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
    context.check()
