"""Waits of requests that arrive before the first document or server report."""

import pytest

from lagooncrank.server.seeded import _startup_wait


@pytest.mark.parametrize("checks", [1, 2, 3])
async def test_wait_ends_when_the_condition_holds(checks: int) -> None:
    checks_left = checks

    def has_data() -> bool:
        nonlocal checks_left
        checks_left -= 1
        return checks_left <= 0

    assert await _startup_wait.wait_until(has_data, limit_ms=60_000)


async def test_wait_ends_at_the_limit() -> None:
    assert not await _startup_wait.wait_until(lambda: False, limit_ms=1)
