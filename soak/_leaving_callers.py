"""Callers that close their connection before their request is answered."""

import asyncio
import itertools
import random
from typing import Final

from lagooncrank_platform.tests import provider_protocol

from soak import _callers
from soak import _checks
from soak import _history
from soak import _nodes
from soak import _raw_client

#: Longest time between a request and the end of its connection.
MAX_STAY_S: Final = 0.1
#: Shortest and longest pause between two requests.
PAUSE_S: Final = (0.01, 0.1)


class LeavingCallers:
    """State that concurrent callers share; each one calls `run`."""

    def __init__(
        self,
        entries: list[_nodes.Node],
        checks: _checks.Checks,
        random_: random.Random,
    ) -> None:
        self._entries = entries
        self._checks = checks
        self._random = random_
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Sends and leaves until it is cancelled."""
        while True:
            entry = self._random.choice(self._entries)
            path, is_retry_safe, service = self._random.choice(
                _callers.REQUEST_KINDS
            )
            request = _history.SentRequest(
                f"g{next(self._numbers)}", is_retry_safe, entry.ip, service
            )
            try:
                await self._send_and_leave(entry, path, request)
            except (OSError, TimeoutError):
                # It did not get as far as to leave.
                self._checks.history.statuses[_callers.NO_STATUS] += 1
            await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def _send_and_leave(
        self, entry: _nodes.Node, path: str, request: _history.SentRequest
    ) -> None:
        connection = await _raw_client.Connection.open(
            entry.public_proxy.listen_address
        )
        self._checks.record_request(request)
        headers = provider_protocol.request_headers(path, request.attempt_id)
        try:
            await connection.send(path, headers, b"text")
            await asyncio.sleep(self._random.uniform(0.0, MAX_STAY_S))
        finally:
            connection.close()
        self._checks.record_left(request.attempt_id)
