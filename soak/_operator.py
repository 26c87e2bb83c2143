"""An operator that changes the document and reads it back."""

import asyncio
import json
import random
from typing import Any
from typing import Final

import aiohttp
from lagooncrank_platform.tests import local_cluster
from lagooncrank_platform.tests import provider_protocol

from soak import _history
from soak import _nodes

TIMEOUT: Final = aiohttp.ClientTimeout(total=3.0)
#: Shortest and longest pause between two changes.
PAUSE_S: Final = (0.1, 0.8)
OK: Final = 200


class Operator:
    """Puts documents with increasing versions and reads them back.

    Checks that no read returns an older version than one that was
    acknowledged before the read.
    """

    def __init__(
        self,
        controls: list[_nodes.Node],
        history: _history.RequestHistory,
        random_: random.Random,
    ) -> None:
        self._controls = controls
        self._history = history
        self._random = random_
        self._version = 0
        #: Highest version that was acknowledged.
        self.acknowledged = 0

    async def run(self) -> None:
        """Changes and reads the document until it is cancelled."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            while True:
                await self.put_next_version(session)
                await self.check_version(session)
                await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def put_next_version(self, session: aiohttp.ClientSession) -> None:
        """Puts a document with the next version at a random control node."""
        self._version += 1
        version = self._version
        content = json.dumps(
            {**local_cluster.DOCUMENT, "version": version}
        ).encode()
        status, _ = await self._request(
            session, "POST", provider_protocol.REPLACE_DOCUMENT, content
        )
        if status == OK:
            self.acknowledged = max(self.acknowledged, version)

    async def check_version(self, session: aiohttp.ClientSession) -> None:
        """Reads the document from a random control node and checks it.

        A node that cannot confirm the current document responds with an
        error, which is not a violation.
        """
        acknowledged = self.acknowledged
        status, body = await self._request(
            session, "GET", provider_protocol.READ_DOCUMENT
        )
        if status != OK:
            return
        document: dict[str, Any] = json.loads(body)
        if document["version"] < acknowledged:
            self._history.record_violation(
                f"version {document['version']} was read after version "
                f"{acknowledged} had been acknowledged"
            )

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
            # Whether a change took effect is unknown then. A later one with a
            # higher version replaces it either way.
            return 0, b""
