"""Calls of plain services that are repeatable."""

import json
from typing import Any

import pytest

from lagooncrank import results
from lagooncrank.server.tests import harness as harnesses

Code = results.ResultCode


async def test_call_is_forwarded_unchanged(
    harness: harnesses.DaemonHarness,
) -> None:
    url = harness.url(f"/v1/services/{harnesses.STATUS}/a%2Fb/c?x=%20y&z")
    async with harness.session.patch(
        harnesses.encoded(url), data=b"\x00body", headers=harnesses.HEADERS
    ) as response:
        answer = await response.json()
    assert response.status == 201
    assert answer["path"] == "/a%2Fb/c?x=%20y&z"
    assert answer["received"] == "\x00body"
    assert harness.booking.runs == {"": ["PATCH /a%2Fb/c?x=%20y&z"]}
    headers = harness.booking.headers[0]
    assert headers["X-Request-Id"] == response.headers["X-Request-Id"]
    assert "Authorization" not in headers


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "HEAD"])
async def test_any_method(
    harness: harnesses.DaemonHarness, method: str
) -> None:
    url = harness.url(f"/v1/services/{harnesses.STATUS}/x")
    async with harness.session.request(
        method, url, headers=harnesses.HEADERS
    ) as response:
        await response.read()
    assert response.status == 201
    assert harness.booking.runs == {"": [f"{method} /x"]}


async def response_body(harness: harnesses.DaemonHarness) -> dict[str, Any]:
    url = harness.url(f"/v1/services/{harnesses.STATUS}/x")
    async with harness.session.get(url, headers=harnesses.HEADERS) as response:
        return dict(json.loads(await response.read()))


async def test_only_server_loses_its_connection(
    harness: harnesses.DaemonHarness,
) -> None:
    harness.booking.drops_responses = True
    problem = await response_body(harness)
    assert problem["code"] == Code.NO_BACKEND_SERVER
    assert problem["ran"] == "unknown"


async def test_only_server_is_unreachable(
    harness: harnesses.DaemonHarness,
) -> None:
    await harness.closers.pop()()
    problem = await response_body(harness)
    assert problem["code"] == Code.NO_BACKEND_SERVER
    assert problem["ran"] == "not_run"
    failures = await harness.counter_value(
        "lagooncrank_failed_attempts_total", "connect_failed"
    )
    assert failures == 1


async def test_call_is_retried_at_another_server(
    harness: harnesses.DaemonHarness,
) -> None:
    await harness.closers.pop()()
    await harness.start_booking("b1")
    answers = [await response_body(harness) for _ in range(4)]
    assert {answer["server"] for answer in answers} == {"b1"}


async def test_response_after_the_deadline(
    harness: harnesses.DaemonHarness,
) -> None:
    harness.booking.may_respond.clear()
    url = harness.url(f"/v1/services/{harnesses.STATUS}/x")
    headers = harnesses.HEADERS | {"X-Deadline-Ms": "50"}
    async with harness.session.get(url, headers=headers) as response:
        problem = await response.json(content_type=None)
    harness.booking.may_respond.set()
    assert problem["code"] == Code.DEADLINE_EXCEEDED
    assert problem["ran"] == "unknown"
