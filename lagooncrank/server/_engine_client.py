"""HTTP client of model engines."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import msgspec

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import retry
from lagooncrank.core import timeouts
from lagooncrank.server import _attempts
from lagooncrank.server import _engine_stream
from lagooncrank.server import _pools
from lagooncrank.server import _watchdog

FIRST_BYTE_BOUNDS = timeouts.TimeoutBounds(
    initial_ms=10_000, floor_ms=1_000, ceiling_ms=60_000
)
BETWEEN_BYTES_BOUNDS = timeouts.TimeoutBounds(
    initial_ms=5_000, floor_ms=2_000, ceiling_ms=20_000
)
#: Failures after which the connections to the engine are dropped, since the
#: engine is unresponsive.
UNRESPONSIVE_KINDS = frozenset(
    {
        retry.FailureKind.FIRST_BYTE_TIMEOUT,
        retry.FailureKind.BETWEEN_BYTES_TIMEOUT,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateRequest:
    """Body of `POST /v1/generate`."""

    request_id: model.RequestId
    attempt: int
    replica_id: str
    fencing_number: int
    prompt: str
    resume_from: tuple[str, ...]
    max_tokens: int
    #: Lower runs first.
    priority: int


class EngineClient:
    """Sends requests to model engines and opens their streamed responses."""

    def __init__(
        self,
        pools: _pools.ConnectionPools,
        watchdog: _watchdog.Watchdog,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
        first_byte: timeouts.TimeoutBounds = FIRST_BYTE_BOUNDS,
        between_bytes: timeouts.TimeoutBounds = BETWEEN_BYTES_BOUNDS,
    ) -> None:
        self._pools = pools
        self._watchdog = watchdog
        self._clock = clock
        self._observed_clock = observed_clock
        self._timeouts = timeouts.AdaptiveTimeouts(first_byte, between_bytes)
        self._draining: set[asyncio.Task[None]] = set()

    def new_stream(self, kind: str) -> _engine_stream.EngineStream:
        """Returns a stream that is not opened yet.

        Args:
            kind: Kind of request; requests of one kind have similar response
                times and share their adaptive timeouts.
        """
        return _engine_stream.EngineStream(
            self._timeouts.first_byte(kind),
            self._timeouts.between_bytes(kind),
            self._clock,
            self._observed_clock,
        )

    @contextlib.asynccontextmanager
    async def opened(
        self,
        stream: _engine_stream.EngineStream,
        address: str,
        request: GenerateRequest,
    ) -> AsyncIterator[None]:
        """Opens a stream; closes its connection if the attempt fails.

        After a complete response the connection is reused.

        Raises:
            AttemptFailedError: The attempt failed, here or in the body of
                the `with` statement.
        """
        url = f"http://{address}/v1/generate"
        body = msgspec.json.encode(request)
        try:
            async with self._pools.session(address) as session:
                self._watchdog.add(stream.watch)
                try:
                    await stream.open(session, url, body)
                    yield
                except BaseException:
                    stream.close()
                    raise
                else:
                    self._drain(stream)
                finally:
                    self._watchdog.remove(stream.watch)
        except _attempts.AttemptFailedError as error:
            if error.failure.kind in UNRESPONSIVE_KINDS:
                await self._pools.drop(address)
            raise

    def _drain(self, stream: _engine_stream.EngineStream) -> None:
        """Reads the end of a response without making its caller wait."""
        task = asyncio.create_task(stream.drain())
        self._draining.add(task)
        task.add_done_callback(self._draining.discard)
