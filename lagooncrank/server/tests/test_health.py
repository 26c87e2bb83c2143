from typing import Any

import pytest

from lagooncrank import results
from lagooncrank.core import retry
from lagooncrank.server import _lifecycle
from lagooncrank.server.tests import harness as harnesses


async def health(
    harness: harnesses.DaemonHarness,
) -> tuple[int, dict[str, Any]]:
    async with harness.session.get(harness.url("/healthz")) as response:
        return response.status, await response.json()


async def test_health_of_a_serving_entry(
    harness: harnesses.DaemonHarness,
) -> None:
    assert await health(harness) == (200, {"state": "serving"})


@pytest.mark.parametrize("phase", ["leaving", "draining"])
async def test_health_of_a_stopping_entry(
    harness: harnesses.DaemonHarness, phase: str
) -> None:
    harness.daemon.lifecycle.enter(_lifecycle.Phase(phase))
    assert await health(harness) == (503, {"state": phase})


async def test_entry_without_quorum_refuses_new_requests(
    harness: harnesses.DaemonHarness,
) -> None:
    harness.shared.has_quorum = False
    assert await health(harness) == (503, {"state": "no_quorum"})
    async with harness.complete() as response:
        problem = await response.json(content_type=None)
    assert problem["code"] == results.ResultCode.CONFIGURATION_STALE
    assert problem["ran"] == "not_run"


async def test_every_reason_is_exported(
    harness: harnesses.DaemonHarness,
) -> None:
    async with harness.session.get(harness.url("/metrics")) as response:
        text = await response.text()
    for code in results.ResultCode:
        labels = f'{{code="{code.value}",reason="{code.name}"}}'
        assert f"lagooncrank_refusals_total{labels} 0.0" in text
    for kind in retry.FailureKind:
        assert f'reason="{kind.value}"' in text


async def test_tokens_are_counted(harness: harnesses.DaemonHarness) -> None:
    async with harness.complete(max_tokens=7) as response:
        await response.read()
    async with harness.session.get(harness.url("/metrics")) as response:
        text = await response.text()
    assert 'lagooncrank_output_tokens_total{service="draft"} 7.0' in text
    assert 'lagooncrank_first_token_seconds_count{service="draft"} 1.0' in text
