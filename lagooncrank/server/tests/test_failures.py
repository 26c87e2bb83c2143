"""Engines that fail in several ways; callers that disconnect or stall."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import json
from typing import Any

import pytest

from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import admission
from lagooncrank.server.tests import harness as harnesses
from standins import _tokens
from standins import engine

TOKENS = 40
ANSWER = _tokens.answer("hello", TOKENS)
FAILED = "lagooncrank_failed_attempts_total"
REFUSED = "lagooncrank_refusals_total"


async def stream_completion(
    harness: harnesses.DaemonHarness,
) -> tuple[str, str]:
    """Streams a completion and returns its text and its last event."""
    async with harness.complete(stream=True, max_tokens=TOKENS) as response:
        raw = (await response.read()).decode()
    events = [event for event in raw.split("\n\n") if event]
    chunks = [
        json.loads(event.removeprefix("data: "))
        for event in events
        if event.startswith("data: {")
    ]
    text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
    return text, events[-1]


def first_used_engine(harness: harnesses.DaemonHarness) -> engine.Engine:
    return next(e for e in harness.engines if e.requests)


def fail_first_attempt(
    harness: harnesses.DaemonHarness, name: str, value: Any
) -> None:
    """Makes the engine that runs the next request fail once."""

    def fail_once(engine_: engine.Engine) -> None:
        for other in harness.engines:
            other.on_request = None
            if other is not engine_:
                setattr(other, name, None)

    for member in harness.engines:
        setattr(member, name, value)
        member.on_request = fail_once


@pytest.mark.parametrize(
    ("failure", "value", "resumed", "reason"),
    [
        pytest.param(
            "disconnects_after", 0, 0, "connection_lost", id="lost_at_once"
        ),
        pytest.param(
            "disconnects_after", 17, 17, "connection_lost", id="lost_midway"
        ),
        pytest.param(
            "stalls_after", 0, 0, "first_byte_timeout", id="no_first_byte"
        ),
        pytest.param(
            "stalls_after", 17, 17, "between_bytes_timeout", id="stalls_midway"
        ),
        pytest.param("skips_event_at", 17, 17, "protocol_error", id="gap"),
        pytest.param(
            "duplicates_event_at", 17, 18, "protocol_error", id="duplicate"
        ),
        pytest.param(
            "misattributes_event_at",
            17,
            17,
            "protocol_error",
            id="other_request",
        ),
    ],
)
async def test_answer_is_resumed_on_another_replica(
    harness: harnesses.DaemonHarness,
    failure: str,
    value: int,
    resumed: int,
    reason: str,
) -> None:
    fail_first_attempt(harness, failure, value)
    text, end = await stream_completion(harness)
    assert (text, end) == (ANSWER, "data: [DONE]")
    used = [e for e in harness.engines if e.requests]
    starts = [len(e.requests[0]["resume_from"]) for e in used]
    assert sorted(starts) == [0, resumed]
    assert await harness.counter_value(FAILED, reason) == 1
    assert await harness.counter_value("lagooncrank_retries_total", reason) == 1


async def test_error_after_the_first_chunk_is_an_event(
    harness: harnesses.DaemonHarness,
) -> None:
    for member in harness.engines:
        member.disconnects_after = 17
    text, end = await stream_completion(harness)
    kind, _, data = end.partition("\n")
    problem = json.loads(data.removeprefix("data: "))
    assert text == _tokens.answer("hello", 17)
    assert kind == "event: error"
    assert problem["code"] == results.ResultCode.BACKEND_LOST
    assert problem["ran"] == "unknown"


async def test_dead_replicas_are_skipped(
    harness: harnesses.DaemonHarness,
) -> None:
    for close in harness.engine_closers[:2]:
        await close()
    text, end = await stream_completion(harness)
    second_text, _ = await stream_completion(harness)
    assert (text, end) == (ANSWER, "data: [DONE]")
    assert second_text == ANSWER


@pytest.mark.parametrize("stream", [True, False])
async def test_caller_that_disconnects_cancels_at_the_engine(
    harness: harnesses.DaemonHarness, stream: bool
) -> None:
    _, writer = await harness.open_connection()
    body = json.dumps(
        {
            "model": harnesses.MODEL,
            "prompt": "x",
            "max_tokens": 4_000,
            "stream": stream,
        }
    )
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {harnesses.KEY}\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    writer.write(f"{head}\r\n{body}".encode())
    await harnesses.wait_until(lambda: any(e.requests for e in harness.engines))
    writer.close()
    used_engine = first_used_engine(harness)
    await harnesses.wait_until(lambda: bool(used_engine.unfinished_requests))
    await harness.daemon.lifecycle.idle.wait()
    assert used_engine.unfinished_requests == [
        used_engine.requests[0]["request_id"]
    ]
    assert await harness.counter_value(REFUSED, "CALLER_GONE") == 1


@pytest.fixture
async def limited_daemon() -> AsyncIterator[harnesses.DaemonHarness]:
    limits = settings.LimitSettings(
        reader_timeout_ms=100, reader_buffer_bytes=4_096
    )
    options = {"between_tokens_ms": 0, "tokens_per_event": 200}
    harness = await harnesses.DaemonHarness.start(limits, options)
    yield harness
    await harness.stop()


async def test_caller_that_stops_reading_is_disconnected(
    limited_daemon: harnesses.DaemonHarness,
) -> None:
    harness = limited_daemon
    (declared,) = harnesses.DECLARATIONS.model_services
    big = dataclasses.replace(declared, max_output_tokens=10_000_000)
    await harness.apply(
        harnesses.DECLARATIONS.with_changes(model_services=(big,))
    )
    _, writer = await harness.open_connection()
    body = json.dumps(
        {
            "model": harnesses.MODEL,
            "prompt": "x",
            "max_tokens": 10_000_000,
            "stream": True,
        }
    )
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {harnesses.KEY}\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    transport = writer.transport
    assert isinstance(transport, asyncio.ReadTransport)
    writer.write(f"{head}\r\n{body}".encode())
    await harnesses.wait_until(lambda: any(e.requests for e in harness.engines))
    transport.pause_reading()
    used_engine = first_used_engine(harness)
    await harnesses.wait_until(lambda: bool(used_engine.unfinished_requests))
    await harness.daemon.lifecycle.idle.wait()
    assert await harness.counter_value(REFUSED, "READER_TOO_SLOW") == 1
    writer.close()


async def test_suspended_request_resumes_where_it_stopped(
    harness: harnesses.DaemonHarness,
) -> None:
    task = asyncio.create_task(stream_completion(harness))
    await harnesses.wait_until(lambda: any(e.requests for e in harness.engines))
    used_engine = first_used_engine(harness)
    request_id = used_engine.requests[0]["request_id"]
    await asyncio.sleep(0.05)
    admission_service = harness.daemon.admission_service
    admission_service.apply_effects([admission.Suspend(request_id)])
    await harnesses.wait_until(lambda: bool(used_engine.unfinished_requests))
    admission_service.apply_effects([admission.Start(request_id, 1)])
    text, end = await task
    requests = [r for e in harness.engines for r in e.requests]
    assert (text, end) == (ANSWER, "data: [DONE]")
    assert [r["attempt"] for r in requests] == [1, 2]
    assert len(requests[1]["resume_from"]) > 0


async def test_deadline_ends_a_completion(
    harness: harnesses.DaemonHarness,
) -> None:
    body = {"model": harnesses.MODEL, "prompt": "x", "max_tokens": 4_000}
    headers = harnesses.HEADERS | {"X-Deadline-Ms": "100"}
    async with harness.session.post(
        harness.url("/v1/completions"), json=body, headers=headers
    ) as response:
        problem = await response.json(content_type=None)
    assert problem["code"] == results.ResultCode.DEADLINE_EXCEEDED
    assert problem["ran"] == "unknown"
