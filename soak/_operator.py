"""An operator that changes the document and reads it back."""

import asyncio
import json
import random
from typing import Any
from typing import Final

import aiohttp
from lagooncrank_platform.tests import local_cluster
from lagooncrank_platform.tests import provider_protocol

from soak import _ledger
from soak import _nodes

TIMEOUT: Final = aiohttp.ClientTimeout(total=3.0)
PAUSE_S: Final = (0.1, 0.8)
OK: Final = 200


class Operator:
    """Puts ever higher versions; none that was acknowledged may be lost."""

    def __init__(
        self,
        controls: list[_nodes.Node],
        ledger: _ledger.Ledger,
        random_: random.Random,
    ) -> None:
        self._controls = controls
        self._ledger = ledger
        self._random = random_
        self._version = 0
        #: Highest version that was acknowledged.
        self.acknowledged = 0

    async def run(self) -> None:
        """Changes and reads the document until it is cancelled."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            while True:
                await self.put(session)
                await self.read(session)
                await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def put(self, session: aiohttp.ClientSession) -> None:
        """Sends the next version."""
        self._version += 1
        version = self._version
        content = json.dumps(
            {**local_cluster.DOCUMENT, "version": version}
        ).encode()
        status, _ = await self._call(
            session, "POST", provider_protocol.REPLACE_DOCUMENT, content
        )
        if status == OK:
            self.acknowledged = max(self.acknowledged, version)

    async def read(self, session: aiohttp.ClientSession) -> None:
        """Reads from any node; it may not be able to tell."""
        expected = self.acknowledged
        status, body = await self._call(
            session, "GET", provider_protocol.READ_DOCUMENT
        )
        if status != OK:
            return
        found: dict[str, Any] = json.loads(body)
        if found["version"] < expected:
            self._ledger.problem(
                f"version {found['version']} was read after the "
                f"acknowledgement of {expected}"
            )

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        content: bytes | None = None,
    ) -> tuple[int, bytes]:
        node = self._random.choice(self._controls)
        url = f"http://{node.public.listen}{path}"
        try:
            async with session.request(method, url, data=content) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The fate of a change is then not known; the next one tells.
            return 0, b""
