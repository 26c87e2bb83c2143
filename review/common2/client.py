"""Clients: requests on kept or new connections, with what came of each."""

import asyncio
import dataclasses
import itertools

from review.common2 import nodes
from review.common2 import record as records
from review.common2 import wire

HOST = "site.example"
KEY = "n2ctnfzs989anu6wsjnb"


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a client saw of one request."""

    attempt_id: str
    sent_s: float
    ended_s: float = 0.0
    #: None if the connection ended without a whole response.
    status: int | None = None
    error: str = ""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


class Client:
    """Sends requests to one entry on a connection that it keeps."""

    _numbers = itertools.count(1)

    def __init__(
        self, entry: nodes.Node, record: records.Record, name: str = "c"
    ) -> None:
        self._entry = entry
        self._record = record
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def connect(self) -> None:
        """Opens a connection, unless one is open."""
        if self._writer is None:
            host, _, port = self._entry.address("callers").rpartition(":")
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port), limit=wire.MAX_LINE_BYTES
                )

    async def send(
        self,
        method: str,
        path: str,
        limit_ms: int,
        body: bytes = b"",
        **headers: str,
    ) -> Outcome:
        """Sends a request and waits for the whole response, or the limit."""
        attempt_id = f"{self._name}{next(self._numbers):05d}"
        outcome = Outcome(attempt_id, self._record.now_s())
        try:
            await self.connect()
            assert self._reader is not None
            assert self._writer is not None
            usual = {
                "Host": HOST,
                "Attempt-Id": attempt_id,
                "Credential": KEY,
                "Deadline-Ms": str(limit_ms),
            }
            usual |= {n.replace("_", "-"): v for n, v in headers.items()}
            line = f"{method} {path} HTTP/1.1"
            outcome.sent_s = self._record.now_s()
            self._record.write(f"client sends {attempt_id} {method} {path}")
            self._writer.write(wire.encode(line, usual, body))
            async with asyncio.timeout(limit_ms / 1_000):
                response = await wire.read_message(self._reader)
            if response is None:
                raise ConnectionResetError("closed without a response")
            outcome.status = response.status
            outcome.headers = response.headers
            outcome.body = response.body
            if response.headers.get("connection", "").lower() == "close":
                self.close()
        except nodes.ERRORS as error:
            outcome.error = repr(error)
            self.close()
        outcome.ended_s = self._record.now_s()
        self._record.write(
            f"client has {attempt_id}: {outcome.status} {outcome.error}"
        )
        return outcome


def document(version: int, **changes: object) -> dict[str, object]:
    """Returns a document with a plain service for bookings and look-ups."""
    route = {
        "hostname": HOST,
        "timeout_ms": 8_000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
        "public": False,
    }
    return {
        "version": version,
        "routes": [
            route
            | {
                "name": "book",
                "path_prefix": "/book/",
                "type": "non_idempotent",
            },
            route
            | {"name": "look", "path_prefix": "/look/", "type": "idempotent"},
        ],
        "services": [
            {
                "name": "desk",
                "health_path": "/healthz",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
        **changes,
    }


def with_drafts(
    base: dict[str, object], *, is_resumable: bool = True
) -> dict[str, object]:
    """Returns a document with a service of model runners beside the others.

    Figures are those of the sheets; groups have two runners.

    Args:
        base: The document.
        is_resumable: Whether streams may be resumed.
    """
    routes = base["routes"]
    services = base["services"]
    assert isinstance(routes, list)
    assert isinstance(services, list)
    draft = routes[0] | {
        "name": "draft",
        "path_prefix": "/draft/",
        "type": "streaming",
        "timeout_ms": 6_000,
        "target_latency_ms": 300,
        "service": "writers",
        "session_affinity": True,
        "resumable": is_resumable,
        "gap_aim_ms": 200,
    }
    engine = {
        "slots": 13,
        "kv_capacity_tokens": 700_000,
        "stride": 5,
        "models": [
            {
                "name": "m0",
                "size": 2,
                "share": 1.0,
                "pace": 1.0,
                "load_s": 12.0,
                "warm_s": 1.6,
            }
        ],
        "step_ms": 6.07,
        "per_seq_ms": 0.482,
        "read_per_s": 46_000.0,
        "loads_per_s": 4.0,
        "loads_at_once": 6,
        "usual": {"prompt": 1_076, "answer": 116},
    }
    writers = services[0] | {
        "name": "writers",
        "max_connections": 394,
        "engine": engine,
    }
    return base | {"routes": [*routes, draft], "services": [*services, writers]}
