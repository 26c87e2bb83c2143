from collections.abc import AsyncIterator

import pytest_asyncio

from lagooncrank.server.tests import site as sites


@pytest_asyncio.fixture
async def site() -> AsyncIterator[sites.Site]:
    started = await sites.Site.started()
    yield started
    await started.stop()
