"""Attempts at one backend server."""

import asyncio
import contextlib
import dataclasses
import socket
import time
from typing import Any
from typing import cast
from typing import Final

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _send_context
from lagooncrank.server.tests import raw_server
from lagooncrank.server.tests import stream_servers

SERVER = model.BackendServerId("s1")
SERVICE = model.ServiceName("desk")
DOMAIN = model.FailureDomainId("a")
#: More than the kernel buffers for a server that does not read.
LARGE_BODY_BYTES: Final = 67_108_864
#: Longer than a standstill that counts as observed time.
PROBE_TIMEOUT_MS: Final = 200
#: Much longer than any step takes, so that only a fault exceeds it.
TIMEOUT_S: Final = 30.0
METADATA = _adapter.ForwardingMetadata(SERVER, 1_000, None, None, None)


class PlainCodec:
    """Codec that adds no headers."""

    def backend_request_headers(self, *_: object) -> _adapter.Headers:
        return ()


def request_head(method: str) -> _adapter.RequestHead:
    return _adapter.RequestHead(
        attempt_id="a1",
        method=method,
        target="/",
        host="h",
        key=None,
        deadline_ms=None,
        model_name="",
        prompt_tokens=0,
        max_output_tokens=0,
        last_event_id=None,
        forwarded_headers=(),
    )


@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
@pytest.mark.parametrize("resets", [False, True])
async def test_request_that_gets_no_response_is_sent_once(
    method: str, resets: bool
) -> None:
    """The library sent a request again that may have run."""
    server = raw_server.RawServer([], resets)
    client = _attempt.BackendClient(
        cast(Any, PlainCodec()),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await client.start()
    try:
        async with server.running() as address:
            target = dispatch.Target(SERVER, address, SERVICE, DOMAIN, slots=1)
            with pytest.raises(_attempt.AttemptFailedError) as caught:
                await client.open(target, request_head(method), METADATA, b"")
    finally:
        await client.stop()
    assert caught.value.failure is _attempt.FailureKind.RESPONSE_LOST
    assert caught.value.may_have_run
    assert server.requests == 1


@dataclasses.dataclass(frozen=True)
class LoopHolder:
    """Holds the event loop up once a connection is being opened."""

    duration_s: float

    def on_connecting(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, self.duration_s)

    def on_connected(self) -> None:
        pass


# Guards against a connection that the kernel set up while this process stood
# still, and that was given up for it.
async def test_connection_outlasts_a_standstill_of_this_process() -> None:
    server = raw_server.RawServer([], False)
    client = _attempt.BackendClient(
        cast(Any, PlainCodec()),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await client.start()
    held_ms = _attempt.CONNECT_TIMEOUT_MS + 100
    context = _send_context.SendContext(LoopHolder(held_ms / clocks.MS_PER_S))
    try:
        async with server.running() as address:
            target = dispatch.Target(SERVER, address, SERVICE, DOMAIN, slots=1)
            with pytest.raises(_attempt.AttemptFailedError) as caught:
                await client.open(
                    target, request_head("GET"), METADATA, b"", context=context
                )
    finally:
        await client.stop()
    assert caught.value.failure is _attempt.FailureKind.RESPONSE_LOST
    assert server.requests == 1


# Guards against a server that is taken for silent although its response to a
# probe arrived while this process stood still.
async def test_probe_outlasts_a_standstill_of_this_process() -> None:
    held_ms = PROBE_TIMEOUT_MS + 100

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        time.sleep(held_ms / clocks.MS_PER_S)  # noqa: ASYNC251
        writer.close()

    client = _attempt.BackendClient(
        cast(Any, PlainCodec()),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await client.start()
    try:
        async with stream_servers.running(serve) as address:
            outcome = await client.probe(address, "/", PROBE_TIMEOUT_MS)
    finally:
        await client.stop()
    assert outcome is _attempt.ProbeOutcome.RESPONSE


# Guards against an attempt that waits without end for a host that is gone.
async def test_connection_that_is_not_set_up_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_attempt, "CONNECT_TIMEOUT_MS", 20)
    client = _attempt.BackendClient(
        cast(Any, PlainCodec()),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await client.start()
    with contextlib.ExitStack() as stack:
        # The kernel answers no more connections than fit the queue.
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        host, port = listener.getsockname()
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex((host, port))
        target = dispatch.Target(
            SERVER, f"{host}:{port}", SERVICE, DOMAIN, slots=1
        )
        with pytest.raises(_attempt.AttemptFailedError) as caught:
            await client.open(target, request_head("GET"), METADATA, b"")
    await client.stop()
    assert caught.value.failure is _attempt.FailureKind.CONNECT


class GoneError(Exception):
    """The caller has left."""


# Guards against a request that is written although its caller left while the
# connection for it was opened, or in the step before it is written.
@pytest.mark.parametrize("body", [b"", b"text"])
@pytest.mark.parametrize("allowed_checks", [0, 1])
async def test_request_is_not_written_once_its_caller_has_left(
    body: bytes, allowed_checks: int
) -> None:
    server = raw_server.RawServer([], False)
    client = _attempt.BackendClient(
        cast(Any, PlainCodec()),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await client.start()
    checks = 0

    def check_before_send() -> None:
        nonlocal checks
        checks += 1
        if checks > allowed_checks:
            raise GoneError

    context = _send_context.SendContext(check_before_send=check_before_send)
    has_second_check = bool(body)
    expected = (
        GoneError
        if not allowed_checks or has_second_check
        else _attempt.AttemptFailedError
    )
    try:
        async with server.running() as address:
            target = dispatch.Target(SERVER, address, SERVICE, DOMAIN, slots=1)
            with pytest.raises(expected):
                await client.open(
                    target,
                    request_head("POST"),
                    METADATA,
                    body,
                    context=context,
                )
    finally:
        await client.stop()
    assert server.requests == (0 if expected is GoneError else 1)
    assert context.has_connected


# Guards against the rest of a body that a server gets after its request was
# given up: it would run the whole request.
async def test_body_is_not_sent_on_after_its_request_was_given_up() -> None:
    received = bytearray()
    has_connected = asyncio.Event()
    may_read = asyncio.Event()
    has_ended = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        has_connected.set()
        await may_read.wait()
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(65_536):
                received.extend(chunk)
        writer.close()
        has_ended.set()

    client = _attempt.BackendClient(
        cast(Any, PlainCodec()),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await client.start()
    listener = await asyncio.start_server(serve, "127.0.0.1", 0, limit=4_096)
    host, port = listener.sockets[0].getsockname()
    target = dispatch.Target(SERVER, f"{host}:{port}", SERVICE, DOMAIN, slots=1)
    body = bytes(LARGE_BODY_BYTES)
    sending = asyncio.create_task(
        client.open(target, request_head("POST"), METADATA, body)
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await has_connected.wait()
            await asyncio.sleep(0.2)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            may_read.set()
            await has_ended.wait()
    finally:
        listener.close()
        await client.stop()
    assert len(received) < LARGE_BODY_BYTES
