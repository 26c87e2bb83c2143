"""Requests that an entry refuses: their result code, and that nothing ran."""

import asyncio
import dataclasses
from typing import Any

import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import state
from lagooncrank.server import _lifecycle
from lagooncrank.server.tests import harness as harnesses
from lagooncrank.server.tests import single_node

Code = results.ResultCode
COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
VALID = {"model": harnesses.MODEL, "prompt": "hello", "max_tokens": 2}
MESSAGE = {"role": "user", "content": "hello"}


async def refused(
    harness: harnesses.DaemonHarness, path: str, **options: Any
) -> dict[str, Any]:
    """Sends a POST request and returns the problem document of the refusal."""
    headers = harnesses.HEADERS | options.pop("headers", {})
    async with harness.session.post(
        harness.url(path), headers=headers, **options
    ) as response:
        problem: dict[str, Any] = await response.json(content_type=None)
    assert response.content_type == "application/problem+json"
    assert response.status == problem["status"]
    assert response.headers["X-Request-Id"] == problem["request_id"]
    return problem


@pytest.mark.parametrize(
    ("path", "options", "code"),
    [
        pytest.param(
            COMPLETIONS,
            {"data": b"{"},
            Code.MALFORMED_REQUEST,
            id="truncated_json",
        ),
        pytest.param(
            COMPLETIONS,
            {"data": b'{"model":"\xff"}'},
            Code.MALFORMED_REQUEST,
            id="not_utf8",
        ),
        pytest.param(
            COMPLETIONS,
            {"json": {"model": harnesses.MODEL}},
            Code.MALFORMED_REQUEST,
            id="no_prompt",
        ),
        pytest.param(
            COMPLETIONS,
            {"json": VALID | {"max_tokens": 0}},
            Code.MALFORMED_REQUEST,
            id="no_tokens",
        ),
        pytest.param(
            CHAT,
            {"json": {"model": harnesses.MODEL, "messages": []}},
            Code.MALFORMED_REQUEST,
            id="no_messages",
        ),
        pytest.param(
            COMPLETIONS,
            {"json": VALID, "headers": {"X-Deadline-Ms": "soon"}},
            Code.MALFORMED_REQUEST,
            id="deadline_not_a_number",
        ),
        pytest.param(
            COMPLETIONS,
            {"json": VALID, "headers": {"Authorization": "Bearer wrong"}},
            Code.UNAUTHENTICATED,
            id="wrong_key",
        ),
        pytest.param(
            COMPLETIONS,
            {"json": VALID, "headers": {"Authorization": "Basic x"}},
            Code.UNAUTHENTICATED,
            id="wrong_scheme",
        ),
        pytest.param(
            COMPLETIONS,
            {"json": VALID | {"model": "other"}},
            Code.UNKNOWN_MODEL,
            id="unknown_model",
        ),
        pytest.param(
            "/v1/services/other/x", {}, Code.UNKNOWN_SERVICE, id="unknown"
        ),
        pytest.param(
            f"/v1/services/{harnesses.BOOKING}/x",
            {},
            Code.KEY_REQUIRED,
            id="no_key",
        ),
        pytest.param(
            f"/v1/services/{harnesses.BOOKING}/x",
            {"headers": {"Idempotency-Key": "k" * 257}},
            Code.MALFORMED_REQUEST,
            id="long_key",
        ),
        pytest.param("/v1/other", {}, Code.UNKNOWN_RESOURCE, id="no_such_path"),
        pytest.param("/v1/models", {}, Code.METHOD_NOT_ALLOWED, id="method"),
        pytest.param(
            COMPLETIONS,
            {"data": b"x" * 1_048_577},
            Code.REQUEST_TOO_LARGE,
            id="too_large",
        ),
        pytest.param(
            "/v1/announce",
            {"json": {}},
            Code.INVALID_ANNOUNCEMENT,
            id="announce",
        ),
    ],
)
async def test_refusal(
    harness: harnesses.DaemonHarness,
    path: str,
    options: dict[str, Any],
    code: Code,
) -> None:
    problem = await refused(harness, path, **options)
    assert problem["code"] == code
    assert problem["ran"] == "not_run"
    assert [e.requests for e in harness.engines] == [[]] * len(harness.engines)
    assert harness.booking.runs == {}
    counted = await harness.counter_value(
        "lagooncrank_refusals_total", code.name
    )
    assert counted == 1


async def test_chunked_body_over_the_limit(
    harness: harnesses.DaemonHarness,
) -> None:
    async def chunks() -> Any:
        for _ in range(20):
            yield b"x" * 65_536

    problem = await refused(harness, COMPLETIONS, data=chunks())
    assert problem["code"] == Code.REQUEST_TOO_LARGE


async def test_account_may_be_denied_a_service(
    harness: harnesses.DaemonHarness,
) -> None:
    (account,) = harnesses.DECLARATIONS.client_accounts
    limited = dataclasses.replace(
        account, services=(model.ServiceName(harnesses.STATUS),)
    )
    await harness.apply(
        harnesses.DECLARATIONS.with_changes(client_accounts=(limited,))
    )
    problem = await refused(harness, COMPLETIONS, json=VALID)
    assert problem["code"] == Code.FORBIDDEN


async def test_keys_of_a_restored_snapshot_are_enforced(
    harness: harnesses.DaemonHarness,
) -> None:
    other = dataclasses.replace(
        harnesses.DECLARATIONS.client_accounts[0], key_sha256s=("0" * 64,)
    )
    ahead = single_node.SingleNodeState()
    declarations = harnesses.DECLARATIONS.with_changes(client_accounts=(other,))
    for revision in range(2):
        await ahead.propose(
            state.ApplyDeclarations(
                f"c{revision}", revision, declarations, "test", 0
            ),
            timeout_ms=1,
        )
    harness.shared.restore(ahead.snapshot())
    problem = await refused(harness, COMPLETIONS, json=VALID)
    assert problem["code"] == Code.UNAUTHENTICATED


async def test_draining_entry_refuses_as_stopping(
    harness: harnesses.DaemonHarness,
) -> None:
    harness.daemon.lifecycle.enter(_lifecycle.Phase.DRAINING)
    problem = await refused(harness, COMPLETIONS, json=VALID)
    assert problem["code"] == Code.STOPPING
    assert problem["ran"] == "not_run"


async def test_no_serving_replica(harness: harnesses.DaemonHarness) -> None:
    for engine in harness.engines:
        engine.is_leaving = True
    await harness.announce_all()
    problem = await refused(harness, COMPLETIONS, json=VALID)
    assert problem["code"] == Code.NO_SERVING_REPLICA
    assert problem["retry_after_ms"] > 0


@pytest.mark.parametrize(
    ("sent_id", "is_echoed"),
    [
        pytest.param("caller-1", True, id="usable"),
        pytest.param("x" * 129, False, id="too_long"),
        pytest.param('a"b', False, id="unsafe"),
    ],
)
async def test_valid_request_id_is_echoed(
    harness: harnesses.DaemonHarness, sent_id: str, is_echoed: bool
) -> None:
    headers = {"X-Request-Id": sent_id}
    url = harness.url("/v1/entries")
    async with harness.session.get(url, headers=headers) as response:
        echoed = response.headers["X-Request-Id"]
    assert (echoed == sent_id) == is_echoed
    assert echoed


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param({"X-Long": "x" * 20_000}, id="long_line"),
        pytest.param({f"X-{i}": "x" for i in range(100)}, id="many_lines"),
    ],
)
async def test_headers_over_the_limit(
    harness: harnesses.DaemonHarness, headers: dict[str, str]
) -> None:
    url = harness.url("/v1/entries")
    async with harness.session.get(url, headers=headers) as response:
        assert response.status == 400


async def test_incomplete_request_head_times_out() -> None:
    limits = settings.LimitSettings(sender_timeout_ms=50)
    harness = await harnesses.DaemonHarness.start(limits)
    reader, writer = await harness.open_connection()
    writer.write(b"POST /v1/completions HT")
    (rest,) = await asyncio.gather(reader.read(), return_exceptions=True)
    counted = await harness.counter_value(
        "lagooncrank_refusals_total", Code.SENDER_TOO_SLOW.name
    )
    writer.close()
    await harness.stop()
    assert isinstance(rest, ConnectionResetError) or rest == b""
    assert counted == 1


async def test_incomplete_request_body_times_out() -> None:
    limits = settings.LimitSettings(sender_timeout_ms=50)
    harness = await harnesses.DaemonHarness.start(limits)
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {harnesses.KEY}\r\nContent-Length: 10\r\n\r\n"
    )
    reader, writer = await harness.open_connection()
    writer.write(head.encode())
    status = await reader.readline()
    writer.close()
    counted = await harness.counter_value(
        "lagooncrank_refusals_total", Code.SENDER_TOO_SLOW.name
    )
    await harness.stop()
    assert status.split()[1] == b"408"
    assert counted == 1
