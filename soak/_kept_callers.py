"""Callers that hold on to connections and addresses longer than wished."""

import asyncio
import dataclasses
import random
import time
from typing import Final

import aiohttp
from lagooncrank_platform.tests import provider_protocol

from soak import _checks
from soak import _history
from soak import _lasting_server
from soak import _nodes
from soak import _raw_client

LIMIT_S: Final = 15.0
MAX_PAUSE_S: Final = 0.3
#: Work of most plain requests, for each event that they draw.
SHORT_WORK_S: Final = 0.01
#: Work of those that draw `LONG_WORK_EVENTS`, one booking in ten.
LONG_WORK_S: Final = 4.0
LONG_WORK_EVENTS: Final = 10
#: How long a caller waits if no entry answers.
IDLE_S: Final = 0.3
RESOLVE_TIMEOUT: Final = aiohttp.ClientTimeout(total=1.0)
#: Path, service, whether a request may run again, longest duration.
REQUESTS: Final = (
    ("/draft/k", "writers", True, 4.0),
    ("/letter/k", "writers", False, 4.0),
    ("/book/k", "desk", False, 1.0),
    ("/look/k", "desk", True, 0.3),
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerKind:
    """How a caller treats connections and addresses."""

    name: str
    #: Addresses are used for this many times their lifetime.
    ttl_factor: float = 1.0
    #: Whether it uses a connection on after an answer that says close.
    ignores_close: bool = False
    #: Part of the requests that it leaves before their end.
    leaves: float = 0.0


KINDS: Final = (
    CallerKind("polite"),
    CallerKind("slow-to-resolve", ttl_factor=3.0),
    CallerKind("sticky", ttl_factor=3.0, ignores_close=True),
    CallerKind("never-resolves", ttl_factor=1e6, ignores_close=True),
    CallerKind("leaver", leaves=0.3),
)


class KeptCaller:
    """Sends one request after the other, straight to the entries.

    Args:
        name: Part of its requests' ids.
        kind: How it treats connections and addresses.
        entries: All entries.
        checks: Receives what it sent and saw.
        random_: Its random choices.
    """

    def __init__(
        self,
        name: str,
        kind: CallerKind,
        entries: list[_nodes.Node],
        checks: _checks.Checks,
        random_: random.Random,
    ) -> None:
        self._name = name
        self._kind = kind
        self._entries = {e.public_proxy.target_address: e for e in entries}
        self._checks = checks
        self._random = random_
        self._addresses: list[str] = []
        self._expires_s = 0.0
        self._connection: _raw_client.Connection | None = None
        self._address = ""
        self._sent = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        try:
            async with aiohttp.ClientSession(
                timeout=RESOLVE_TIMEOUT
            ) as session:
                while True:
                    await self._take_turn(session)
        finally:
            self._close()

    async def _take_turn(self, session: aiohttp.ClientSession) -> None:
        """Sends a request, unless no entry can be connected to, and waits."""
        connection = await self._connect(session)
        if connection is None:
            await asyncio.sleep(IDLE_S)
            return
        await self._send_request(connection)
        await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    async def _connect(
        self, session: aiohttp.ClientSession
    ) -> _raw_client.Connection | None:
        """Returns the open connection, or a new one."""
        if time.monotonic() > self._expires_s:
            await self._resolve(session)
        connection = self._connection
        is_listed = self._kind.ignores_close or self._address in self._addresses
        if connection is not None and connection.is_open and is_listed:
            return connection
        self._close()
        if not self._addresses:
            return None
        address = self._random.choice(self._addresses)
        try:
            self._connection = await _raw_client.Connection.open(address)
        except (OSError, TimeoutError):
            self._addresses.remove(address)
            if not self._addresses:
                self._expires_s = 0.0
            return None
        self._address = address
        return self._connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    async def _resolve(self, session: aiohttp.ClientSession) -> None:
        """Asks an entry for addresses; keeps the old ones if that fails."""
        entry = self._random.choice(list(self._entries.values()))
        path = provider_protocol.RESOLVE_PATH
        url = (
            f"http://{entry.directory_address}{path}"
            f"?name={provider_protocol.HOST}&region=r&zone=a"
        )
        try:
            async with session.get(url) as response:
                found = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            # Callers use what they have as long as they get nothing new.
            return
        if found.get("addresses"):
            known = self._entries.keys()
            self._addresses = [a for a in found["addresses"] if a in known]
            lifetime_s = found.get("ttl_s", 1.0) * self._kind.ttl_factor
            self._expires_s = time.monotonic() + lifetime_s

    async def _send_request(self, connection: _raw_client.Connection) -> None:
        path, service, is_retry_safe, longest_s = self._random.choice(REQUESTS)
        self._sent += 1
        attempt_id = f"{self._name}-{self._sent}"
        events = self._random.randint(1, int(longest_s * 10))
        headers = {
            **provider_protocol.request_headers(path, attempt_id),
            provider_protocol.LIMIT_HEADER: str(int(LIMIT_S * 1_000)),
            _lasting_server.EVENTS_HEADER: str(events),
            _lasting_server.WORK_HEADER: (
                str(_work_s(events)) if service == "desk" else "0"
            ),
        }
        entry = self._entries[self._address]
        request = _history.SentRequest(
            attempt_id, is_retry_safe, entry.ip, service
        )
        self._checks.record_request(request)
        self._checks.deadlines.record_request(
            attempt_id, LIMIT_S, self._checks.now_s()
        )
        is_kept = connection.answered > 0
        sent_s = self._checks.now_s()
        leaves = self._random.random() < self._kind.leaves
        limit_s = self._random.uniform(0.05, 1.0) if leaves else LIMIT_S
        try:
            async with asyncio.timeout(limit_s):
                await connection.send(path, headers, b"text")
                answer = await connection.receive()
        except (OSError, TimeoutError):
            # It could not be sent as a whole, or its caller left.
            self._close()
            return
        if not answer.is_complete:
            self._close()
            self._checks.record_cut(
                attempt_id,
                sent_s,
                LIMIT_S,
                is_kept=is_kept,
                has_begun=bool(answer.status),
            )
        self._check(request, answer, events)
        if answer.says_close and not self._kind.ignores_close:
            self._close()

    def _check(
        self,
        request: _history.SentRequest,
        answer: _raw_client.Answer,
        events: int,
    ) -> None:
        if not answer.status:
            return
        self._checks.history.record_response(
            request.attempt_id,
            answer.status,
            answer.headers.get("server-signature", "").removeprefix("by-"),
        )
        if answer.status != _history.OK or request.service != "writers":
            return
        text = answer.body.decode(errors="replace")
        found = [
            int(line[4:])
            for line in text[: text.rfind("\n\n") + 1].splitlines()
            if line.startswith("id: ")
        ]
        expected = list(range(1, events + 1))
        if not answer.is_complete:
            expected = expected[: len(found)]
        if found != expected:
            self._checks.history.record_violation(
                f"ORDER: {request.attempt_id} got events {found} of {events}"
            )


def _work_s(events: int) -> float:
    """Returns how long a plain request runs, unlike most before it."""
    if events >= LONG_WORK_EVENTS:
        return LONG_WORK_S
    return SHORT_WORK_S * events
