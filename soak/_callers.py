"""Callers that keep connections open and check what they are given."""

import asyncio
import itertools
import random
from typing import Final

import aiohttp
from lagooncrank_platform.tests import fake_server
from lagooncrank_platform.tests import provider_protocol

from soak import _ledger
from soak import _nodes

PAUSE_S: Final = (0.0, 0.1)
TIMEOUT: Final = aiohttp.ClientTimeout(total=10.0)
NO_STATUS: Final = 0
#: Path, and whether the request may run more than once.
KINDS: Final = (("/draft/a", True), ("/book/a", False), ("/look/a", True))


class Callers:
    """Some callers that send one request after the other."""

    def __init__(
        self,
        entries: list[_nodes.Node],
        ledger: _ledger.Ledger,
        random_: random.Random,
    ) -> None:
        self._entries = entries
        self._ledger = ledger
        self._random = random_
        self._numbers = itertools.count(1)
        #: Requests that ended with the whole answer.
        self.served = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            while True:
                await self._send_one(session)
                await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def _send_one(self, session: aiohttp.ClientSession) -> None:
        path, may_repeat = self._random.choice(KINDS)
        attempt_id = f"a{next(self._numbers)}"
        entry = self._random.choice(self._entries)
        headers = provider_protocol.request_headers(path, attempt_id)
        self._ledger.sent(_ledger.Sent(attempt_id, may_repeat))
        url = f"http://{entry.public.listen}{path}"
        try:
            async with session.post(
                url, data=b"text", headers=headers
            ) as response:
                self._note_head(attempt_id, response)
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # A broken connection promises nothing.
            self._ledger.statuses[NO_STATUS] += 1
            return
        if response.status == _ledger.OK:
            self.served += 1
            self._check_body(attempt_id, path, body)

    def _note_head(
        self, attempt_id: str, response: aiohttp.ClientResponse
    ) -> None:
        signer = provider_protocol.signing_server(response.headers)
        self._ledger.answered(attempt_id, response.status, signer)
        answered_id = provider_protocol.response_attempt_id(response.headers)
        if answered_id not in (None, attempt_id):
            self._ledger.problem(f"{attempt_id} got the answer {answered_id}")

    def _check_body(self, attempt_id: str, path: str, body: bytes) -> None:
        if not path.startswith(provider_protocol.ENGINE_PREFIX):
            if body != b"done":
                self._ledger.problem(f"{attempt_id}: body {body!r}")
            return
        lines = body.decode(errors="replace").splitlines()
        found = [line[4:] for line in lines if line.startswith("id: ")]
        expected = [str(n) for n in range(1, fake_server.EVENTS + 1)]
        if found != expected:
            self._ledger.problem(f"{attempt_id}: events {found}")
