"""Callers that check the responses they receive."""

import asyncio
import itertools
import random
from typing import Final

import aiohttp
from lagooncrank_platform.tests import fake_server
from lagooncrank_platform.tests import provider_protocol

from soak import _checks
from soak import _cuts
from soak import _history
from soak import _nodes

#: Shortest and longest pause between two requests.
PAUSE_S: Final = (0.0, 0.1)
TIMEOUT: Final = aiohttp.ClientTimeout(total=10.0)
#: Counted in place of an HTTP status for a request without a response.
NO_STATUS: Final = 0
#: Time limits that callers state, by service.
LIMITS_MS: Final = {"writers": 8_000, "desk": 1_500}
#: Path, whether the request may run more than once, and its service.
REQUEST_KINDS: Final = (
    ("/draft/a", True, "writers"),
    ("/book/a", False, "desk"),
    ("/look/a", True, "desk"),
)


class Callers:
    """State that concurrent callers share; each one calls `run`."""

    def __init__(
        self,
        entries: list[_nodes.Node],
        checks: _checks.Checks,
        random_: random.Random,
        cuts: _cuts.EntryCuts,
    ) -> None:
        self._entries = entries
        self._checks = checks
        self._history = checks.history
        self._random = random_
        self._cuts = cuts
        self._attempt_numbers = itertools.count(1)
        #: Number of requests with a complete response of status 200.
        self.served = 0

    async def run(self) -> None:
        """Sends one request after the other until it is cancelled.

        A caller keeps its connections open between requests.
        """
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            while True:
                await self._send_request(session)
                await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def _send_request(self, session: aiohttp.ClientSession) -> None:
        path, is_retry_safe, service = self._random.choice(REQUEST_KINDS)
        attempt_id = f"a{next(self._attempt_numbers)}"
        entry = self._random.choice(self._entries)
        headers = provider_protocol.request_headers(path, attempt_id)
        limit_ms = LIMITS_MS[service]
        headers[provider_protocol.LIMIT_HEADER] = str(limit_ms)
        self._checks.deadlines.record_request(
            attempt_id, limit_ms / 1_000, self._checks.now_s()
        )
        self._checks.record_request(
            _history.SentRequest(attempt_id, is_retry_safe, entry.ip, service)
        )
        group = self._cuts.group_of(entry.ip)
        url = f"http://{entry.public_proxy.listen_address}{path}"
        try:
            async with session.post(
                url, data=b"text", headers=headers
            ) as response:
                self._check_headers(attempt_id, response)
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # A broken connection guarantees nothing about the request.
            self._history.statuses[NO_STATUS] += 1
            self._cuts.record(group, is_served=False)
            return
        is_served = response.status == _history.OK
        self._cuts.record(group, is_served=is_served)
        if is_served:
            self.served += 1
            self._check_body(attempt_id, path, body)

    def _check_headers(
        self, attempt_id: str, response: aiohttp.ClientResponse
    ) -> None:
        signing_server = provider_protocol.signing_server(response.headers)
        self._history.record_response(
            attempt_id, response.status, signing_server
        )
        response_id = provider_protocol.response_attempt_id(response.headers)
        if response_id not in (None, attempt_id):
            self._history.record_violation(
                f"{attempt_id} received the response to {response_id}"
            )

    def _check_body(self, attempt_id: str, path: str, body: bytes) -> None:
        if not path.startswith(provider_protocol.ENGINE_PREFIX):
            if body != b"done":
                self._history.record_violation(
                    f"{attempt_id}: unexpected body {body!r}"
                )
            return
        lines = body.decode(errors="replace").splitlines()
        event_ids = [line[4:] for line in lines if line.startswith("id: ")]
        expected = [str(n) for n in range(1, fake_server.EVENTS + 1)]
        if event_ids != expected:
            self._history.record_violation(
                f"{attempt_id}: unexpected event ids {event_ids}"
            )
