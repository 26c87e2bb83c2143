"""Operators that change the document and read it back."""

import asyncio
import json
import random
from typing import Final

import aiohttp
from lagooncrank_platform.tests import provider_protocol

from soak import _checks
from soak import _documents
from soak import _nodes

TIMEOUT: Final = aiohttp.ClientTimeout(total=3.0)
#: Shortest and longest pause between two changes.
PAUSE_S: Final = (0.1, 0.8)
OK: Final = 200
#: Statuses that end an operator's call at once.
REFUSED: Final = (400, 409, 412, 413, 422)
#: How often a change without a clear outcome is sent.
TRIES: Final = 8
RETRY_PAUSE_S: Final = 0.1
#: How often operators do something else beside a change.
AGAIN_PROBABILITY: Final = 0.2
INVALID_PROBABILITY: Final = 0.2
OTHER_CONTENT_PROBABILITY: Final = 0.1
#: How often operators rest, and for how long: longer than a change may take,
#: so that there is time without any change to compare with.
REST_PROBABILITY: Final = 0.1
REST_S: Final = 6.0
#: Time at the end in which the document is read back.
READ_BACK_S: Final = 3.0


class Operator:
    """Puts documents with increasing versions and reads them back.

    Several tasks may call `run` at once, as several operators. Checks that
    confirmed changes stay, that valid ones are not refused, and that invalid
    ones are neither confirmed nor read back.

    Args:
        controls: All control nodes.
        checks: Receives what was sent and seen.
        random_: Random choices.
        pause_s: Shortest and longest pause between two changes.
    """

    def __init__(
        self,
        controls: list[_nodes.Node],
        checks: _checks.Checks,
        random_: random.Random,
        pause_s: tuple[float, float] = PAUSE_S,
    ) -> None:
        self._controls = controls
        self._checks = checks
        self._random = random_
        self._pause_s = pause_s
        self._changes = _documents.Changes(random_)
        self._rest_until_s = 0.0
        #: Highest version that was acknowledged.
        self.acknowledged = 0
        #: Set when a change has just been acknowledged.
        self.has_acknowledged = asyncio.Event()

    async def run(self) -> None:
        """Changes and reads the document until it is cancelled."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            while True:
                await self.put_next_version(session)
                await self._do_something_else(session)
                await self.check_version(session)
                await self._pause()

    async def _pause(self) -> None:
        """Waits; at times, all operators rest for a while."""
        loop = asyncio.get_running_loop()
        if self._random.random() < REST_PROBABILITY:
            self._rest_until_s = loop.time() + REST_S
        rest_s = self._rest_until_s - loop.time()
        pause_s = self._random.uniform(*self._pause_s)
        await asyncio.sleep(max(rest_s, pause_s))

    async def put_next_version(self, session: aiohttp.ClientSession) -> None:
        """Puts a document with the next version until its outcome is clear."""
        version = self._changes.next_version()
        content = self._changes.next_content()
        body = json.dumps(content.document(version)).encode()
        self._checks.config.record_sent(version, content, self._checks.now_s())
        for _ in range(TRIES):
            status = await self._put(session, body)
            if status == OK:
                self._checks.config.record_ack(version, self._checks.now_s())
                self.acknowledged = max(self.acknowledged, version)
                self.has_acknowledged.set()
                return
            if status in REFUSED:
                self._report(f"valid version {version} got status {status}")
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _do_something_else(self, session: aiohttp.ClientSession) -> None:
        if self._random.random() < AGAIN_PROBABILITY:
            await self._put_again(session)
        if self._random.random() < INVALID_PROBABILITY:
            await self._put_invalid(session)
        if self._random.random() < OTHER_CONTENT_PROBABILITY:
            await self._put_other_content(session)

    async def _put_again(self, session: aiohttp.ClientSession) -> None:
        version = self.acknowledged
        if not version:
            return
        body = json.dumps(self._document(version)).encode()
        status = await self._put(session, body)
        if status in REFUSED:
            self._report(f"version {version}, sent again, got {status}")

    async def _put_invalid(self, session: aiohttp.ClientSession) -> None:
        version = self._changes.next_version()
        kind, body = _documents.invalid_document(
            self._changes.content, version, self._random
        )
        status = await self._put(session, body)
        if status == OK:
            self._report(f"{kind} in version {version} was acknowledged")

    async def _put_other_content(self, session: aiohttp.ClientSession) -> None:
        """Sends other content, never to be in force, as a known version."""
        version = self.acknowledged
        if version:
            document = _documents.with_never_route(self._document(version))
            await self._put(session, json.dumps(document).encode())

    def _document(self, version: int) -> _documents.Document:
        return self._checks.config.content(version).document(version)

    def _report(self, text: str) -> None:
        self._checks.history.record_violation(f"CONFIG: {text}")

    async def check_version(self, session: aiohttp.ClientSession) -> int:
        """Reads the document from a random control node and checks it.

        A node that cannot confirm the current document responds with an
        error, which is not a violation.

        Returns:
            Version that was read; 0 without an answer.
        """
        sent_s = self._checks.now_s()
        status, body = await self._request(
            session, "GET", provider_protocol.READ_DOCUMENT
        )
        if status != OK:
            return 0
        document: _documents.Document = json.loads(body)
        for violation in self._checks.config.record_read(sent_s, document):
            self._checks.history.record_violation(violation)
        return int(document["version"])

    async def check_at_the_end(self) -> None:
        """Reads the document for a while; it must come, and be the newest."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            end_s = self._checks.now_s() + READ_BACK_S
            version = 0
            while self._checks.now_s() < end_s:
                version = await self.check_version(session) or version
                await asyncio.sleep(RETRY_PAUSE_S)
        if version < self.acknowledged:
            self._report(
                f"version {version} was read at the end, {self.acknowledged} "
                "had been acknowledged"
            )

    async def _put(self, session: aiohttp.ClientSession, body: bytes) -> int:
        path = provider_protocol.REPLACE_DOCUMENT
        status, _ = await self._request(session, "POST", path, body)
        return status

    async def _request(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        content: bytes | None = None,
    ) -> tuple[int, bytes]:
        node = self._random.choice(self._controls)
        url = f"http://{node.public_proxy.listen_address}{path}"
        try:
            async with session.request(method, url, data=content) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Whether a change took effect is unknown then.
            return 0, b""
