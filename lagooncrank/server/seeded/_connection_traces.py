"""Tells observers of requests how their connections come about."""

import types
from typing import Protocol

import aiohttp


class ConnectionObserver(Protocol):
    """Is told how the connection for one attempt comes about."""

    def on_connecting(self) -> None:
        """Called when a connection is being opened."""

    def on_connected(self) -> None:
        """Called when the connection is open."""


def trace_config() -> aiohttp.TraceConfig:
    """Returns hooks that tell the observer of a request about connections."""
    config = aiohttp.TraceConfig()

    async def on_connecting(
        _session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        _params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.on_connecting()

    async def on_connected(
        _session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        _params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.on_connected()

    config.on_connection_create_start.append(on_connecting)
    config.on_connection_create_end.append(on_connected)
    return config
