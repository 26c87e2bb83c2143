from collections.abc import AsyncIterator

import pytest_asyncio

from lagooncrank.server.tests import harness as harnesses


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[harnesses.DaemonHarness]:
    running = await harnesses.DaemonHarness.start()
    yield running
    await running.stop()
