"""Delays of the soak's own process, in which all servers and proxies run."""

import asyncio
from typing import Final

from soak import _disturbances

INTERVAL_S: Final = 0.05
#: A longer delay disturbs everything: servers are silent, links are held up.
MAX_LAG_S: Final = 0.25


class LagWatch:
    """Records when the process got no processor time, as an accident.

    Args:
        disturbances: Where delays are recorded.
        core: A control node, so that no bound holds then.
    """

    def __init__(
        self, disturbances: _disturbances.Disturbances, core: str
    ) -> None:
        self._disturbances = disturbances
        self._core = core
        #: Number of delays that were recorded, and the longest one.
        self.delays = 0
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measures delays until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            start_s = loop.time()
            await asyncio.sleep(INTERVAL_S)
            lag_s = loop.time() - start_s - INTERVAL_S
            self.longest_s = max(self.longest_s, lag_s)
            if lag_s > MAX_LAG_S:
                self.delays += 1
                self._disturbances.begin(
                    self._core, _disturbances.Cause.ACCIDENT, start_s
                ).end_s = loop.time()
