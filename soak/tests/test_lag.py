"""Delays of the soak's own process."""

import asyncio
import time

from soak import _disturbances
from soak import _lag


# Guards against: what the soak's own starved process held up counts against
# the system.
async def test_delay_of_the_process_is_an_accident() -> None:
    log = _disturbances.Disturbances(["c1"], window_s=0.0)
    loop = asyncio.get_running_loop()
    watch = _lag.LagWatch(log, "c1")
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0)
    start_s = loop.time()
    # Nothing else runs meanwhile.
    time.sleep(2 * _lag.MAX_LAG_S)  # noqa: ASYNC251 - that is the delay
    while not watch.delays:  # noqa: ASYNC110 - the watch has no event
        await asyncio.sleep(0)
    task.cancel()
    assert not log.is_free_of_accidents("e1", start_s, loop.time())
