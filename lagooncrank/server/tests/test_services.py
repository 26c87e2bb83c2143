"""Calls of plain services that are repeatable."""

import json
from typing import Any

import pytest

from lagooncrank import results
from lagooncrank.server.tests import site as sites

Code = results.ResultCode


async def test_call_is_forwarded_unchanged(site: sites.Site) -> None:
    url = site.url(f"/v1/services/{sites.STATUS}/a%2Fb/c?x=%20y&z")
    async with site.session.patch(
        sites.encoded(url), data=b"\x00body", headers=sites.HEADERS
    ) as response:
        answer = await response.json()
    assert response.status == 201
    assert answer["path"] == "/a%2Fb/c?x=%20y&z"
    assert answer["received"] == "\x00body"
    assert site.booking.runs == {"": ["PATCH /a%2Fb/c?x=%20y&z"]}
    headers = site.booking.headers[0]
    assert headers["X-Request-Id"] == response.headers["X-Request-Id"]
    assert "Authorization" not in headers


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "HEAD"])
async def test_any_method(site: sites.Site, method: str) -> None:
    url = site.url(f"/v1/services/{sites.STATUS}/x")
    async with site.session.request(
        method, url, headers=sites.HEADERS
    ) as response:
        await response.read()
    assert response.status == 201
    assert site.booking.runs == {"": [f"{method} /x"]}


async def response_body(site: sites.Site) -> dict[str, Any]:
    url = site.url(f"/v1/services/{sites.STATUS}/x")
    async with site.session.get(url, headers=sites.HEADERS) as response:
        return dict(json.loads(await response.read()))


async def test_only_server_loses_its_connection(site: sites.Site) -> None:
    site.booking.cut_answers = True
    problem = await response_body(site)
    assert problem["code"] == Code.NO_BACKEND_SERVER
    assert problem["ran"] == "unknown"


async def test_only_server_is_unreachable(site: sites.Site) -> None:
    await site.closers.pop()()
    problem = await response_body(site)
    assert problem["code"] == Code.NO_BACKEND_SERVER
    assert problem["ran"] == "not_run"
    failures = await site.counter(
        "lagooncrank_failed_attempts_total", "connect_failed"
    )
    assert failures == 1


async def test_call_is_retried_at_another_server(site: sites.Site) -> None:
    await site.closers.pop()()
    await site.start_booking("b1")
    answers = [await response_body(site) for _ in range(4)]
    assert {answer["server"] for answer in answers} == {"b1"}


async def test_response_after_the_deadline(site: sites.Site) -> None:
    site.booking.answering.clear()
    url = site.url(f"/v1/services/{sites.STATUS}/x")
    headers = sites.HEADERS | {"X-Deadline-Ms": "50"}
    async with site.session.get(url, headers=headers) as response:
        problem = await response.json(content_type=None)
    site.booking.answering.set()
    assert problem["code"] == Code.DEADLINE_EXCEEDED
    assert problem["ran"] == "unknown"
