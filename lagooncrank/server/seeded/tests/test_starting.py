"""Requests that come before an entry knows the document or any server."""

import pytest

from lagooncrank.server.seeded import _startup_wait


@pytest.mark.parametrize("checks", [1, 2, 3])
async def test_request_goes_on_once_what_it_lacks_is_there(checks: int) -> None:
    left = checks

    def is_there() -> bool:
        nonlocal left
        left -= 1
        return left <= 0

    assert await _startup_wait.wait_until(is_there, limit_ms=60_000)


async def test_request_is_told_when_it_does_not_come() -> None:
    assert not await _startup_wait.wait_until(lambda: False, limit_ms=1)
