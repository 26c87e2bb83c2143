"""Requests straight to each entry that show which document is in force."""

import asyncio
from collections.abc import Mapping
import itertools
import random
from typing import Final

import aiohttp
from lagooncrank_platform.tests import provider_protocol

from soak import _checks
from soak import _config_history
from soak import _documents
from soak import _history
from soak import _nodes
from soak import _servers

TIMEOUT: Final = aiohttp.ClientTimeout(total=5.0)
#: Contents from which probed routes and keys are drawn.
RECENT: Final = 6
UNKNOWN_ROUTE: Final = 404
UNKNOWN_KEY: Final = 401
#: Part of the probes of a route that no document in force has.
NEVER_PROBABILITY: Final = 0.1


class Prober:
    """Probes entries for routes and keys that were added or removed.

    Args:
        checks: Receives what was sent and seen.
        servers: All servers of the deployment by id, as they are now.
        random_: Random choices.
        pause_s: Longest pause between two probes of an entry.
    """

    def __init__(
        self,
        checks: _checks.Checks,
        servers: Mapping[str, _servers.CheckingServer],
        random_: random.Random,
        pause_s: float,
    ) -> None:
        self._checks = checks
        self._servers = servers
        self._random = random_
        self._pause_s = pause_s
        self._numbers = itertools.count(1)

    async def run(self, entry: _nodes.Node) -> None:
        """Probes one entry until it is cancelled."""
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            while True:
                if self._random.random() < NEVER_PROBABILITY:
                    await self._probe_never(session, entry)
                else:
                    await self._probe(session, entry)
                await asyncio.sleep(self._random.uniform(0, self._pause_s))

    async def _probe_never(
        self, session: aiohttp.ClientSession, entry: _nodes.Node
    ) -> None:
        """Requests a route that only refused documents have."""
        path = _documents.NEVER_PATH
        status, server = await self._send(
            session, entry, path, provider_protocol.KEY, _documents.SERVICES[0]
        )
        if server:
            self._checks.history.record_violation(
                f"CONFIG: {path} of a refused document ran on {server} from "
                f"{entry.ip}, status {status}"
            )

    async def _probe(
        self, session: aiohttp.ClientSession, entry: _nodes.Node
    ) -> None:
        contents = self._checks.config.latest_versions(RECENT)
        if not contents:
            return
        content = self._random.choice(contents)
        routes = ["", *(name for name, _ in content.routes)]
        route = self._random.choice(routes)
        key = provider_protocol.KEY
        if not route:
            key = self._random.choice([key, *sorted(content.keys)])
        boot, sent_s = entry.boot, self._checks.now_s()
        is_counted = self._checks.config.is_in_force(route, key, sent_s)
        service = dict(content.routes).get(route, _documents.SERVICES[0])
        path = _documents.path_of(route)
        status, server = await self._send(session, entry, path, key, service)
        ended_s = self._checks.now_s()
        is_in_touch = self._checks.disturbances.is_in_touch(
            entry.ip, sent_s, ended_s
        )
        if is_counted and is_in_touch:
            self._checks.config.record_rate(
                is_added=bool(route), is_served=status == _history.OK
            )
        handling = self._handling(status, server)
        if handling is None or entry.boot != boot:
            return
        probe = _config_history.Probe(
            entry.ip, boot, sent_s, ended_s, route, key, handling, is_in_touch
        )
        self._checks.record_probe(probe)

    def _handling(
        self, status: int, server: str
    ) -> str | _documents.Handling | None:
        """Returns what the entry did; None if that shows no document."""
        if server in self._servers:
            return self._servers[server].service
        if status == UNKNOWN_ROUTE:
            return _documents.Handling.UNKNOWN_ROUTE
        if status == UNKNOWN_KEY:
            return _documents.Handling.UNKNOWN_KEY
        return None

    async def _send(
        self,
        session: aiohttp.ClientSession,
        entry: _nodes.Node,
        path: str,
        key: str,
        service: str,
    ) -> tuple[int, str]:
        """Returns the status, 0 without one, and the server that ran it."""
        attempt_id = f"probe{next(self._numbers)}"
        headers = provider_protocol.request_headers(path, attempt_id)
        headers["Credential"] = key
        request = _history.SentRequest(
            attempt_id, is_retry_safe=True, entry=entry.ip, service=service
        )
        self._checks.record_request(request)
        url = f"http://{entry.public_proxy.target_address}{path}p"
        try:
            async with session.post(url, data=b"p", headers=headers) as answer:
                await answer.read()
                return (
                    answer.status,
                    provider_protocol.signing_server(answer.headers),
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Entries are stopped and killed; that shows no document.
            return 0, ""
