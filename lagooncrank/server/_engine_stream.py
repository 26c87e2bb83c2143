"""Streamed response of one attempt at a model engine."""

import asyncio
import contextlib

import aiohttp
import msgspec

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank.core import retry
from lagooncrank.core import streams
from lagooncrank.core import timeouts
from lagooncrank.server import _attempts
from lagooncrank.server import _bounded_http
from lagooncrank.server import _observed_timer
from lagooncrank.server import _watchdog

#: Statuses with which an engine refuses a request without running it.
REFUSAL_STATUSES = frozenset({409, 429, 503})
MAX_EVENT_BYTES = 1_048_576
#: The content of a refusal is not used.
MAX_REFUSAL_BYTES = 65_536
#: Maximum wait for the end of a response after its last event.
DRAIN_TIMEOUT_S = 1.0
HEADERS = {"Content-Type": "application/json"}

_decoder = msgspec.json.Decoder(streams.EngineEvent)


class EngineStream:
    """Sends one request to an engine and reads the events of its response."""

    def __init__(
        self,
        first_byte: timeouts.AdaptiveTimeout,
        between_bytes: timeouts.AdaptiveTimeout,
        clock: clocks.Clock,
        observed_clock: observed_time.ObservedClock,
    ) -> None:
        self._first_byte = first_byte
        self._between_bytes = between_bytes
        self._clock = clock
        self._observed_clock = observed_clock
        self.watch = _watchdog.Watch(self._on_timeout)
        #: When the caller stops waiting, on the entry's clock.
        self.deadline_ms = clocks.NEVER_MS
        self._response: aiohttp.ClientResponse | None = None
        self._opening: asyncio.Timeout | None = None
        self._interruption: Exception | None = None
        #: Observed time at which the request was sent.
        self._sent_ms = 0
        self._first_byte_received = False
        self._partial_line = b""

    async def open(
        self, session: aiohttp.ClientSession, url: str, body: bytes
    ) -> None:
        """Sends the request and waits for the head of the response.

        Raises:
            AttemptFailedError: The engine cannot be reached, refused the
                request, or did not respond in time.
            DeadlinePassedError: The caller's deadline passed.
        """
        self._sent_ms = self._observed_clock.now_ms()
        remaining_ms = self.deadline_ms - self._clock.now_ms()
        silence = _observed_timer.timeout(
            self._observed_clock, self._first_byte.timeout_ms
        )
        try:
            async with (
                asyncio.timeout(
                    remaining_ms / clocks.MS_PER_S
                ) as self._opening,
                silence,
            ):
                self._response = await session.post(
                    url, data=body, headers=HEADERS
                )
                await _check_status(self._response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            kind = retry.FailureKind.CONNECT_FAILED
            raise _failed(kind, str(error), bytes_written=False) from error
        except _bounded_http.UnusableResponseError as error:
            kind = retry.FailureKind.PROTOCOL_ERROR
            raise _failed(kind, str(error)) from error
        except (aiohttp.ClientError, ConnectionError) as error:
            kind = retry.FailureKind.CONNECTION_LOST
            raise _failed(kind, repr(error)) from error
        except TimeoutError as error:
            raise self._interruption or self._timeout_error() from error

    async def read(self) -> list[streams.EngineEvent]:
        """Waits for events and returns all that have arrived.

        Returns:
            Events in order; none at the end of the response.

        Raises:
            AttemptFailedError: The connection was lost, the engine became
                unresponsive or it sent an invalid event.
            DeadlinePassedError: The caller's deadline passed.
        """
        while True:
            data = await self._read_bytes()
            if not data:
                return []
            lines = (self._partial_line + data).split(b"\n")
            self._partial_line = lines.pop()
            if len(self._partial_line) > MAX_EVENT_BYTES:
                kind = retry.FailureKind.PROTOCOL_ERROR
                raise _failed(kind, "an event exceeds the size limit")
            if lines:
                return _decode(lines)

    def interrupt(self, error: Exception) -> None:
        """Raises `error` in a pending `open`, or the pending or next `read`."""
        self._interruption = error
        if self._response is not None:
            self._response.content.set_exception(error)
        elif self._opening is not None and not self._opening.expired():
            self._opening.reschedule(0)

    async def drain(self) -> None:
        """Reads the end of a complete response, so its connection is reused.

        Without this every request would open a new connection.
        """
        assert self._response is not None
        with contextlib.suppress(
            TimeoutError, aiohttp.ClientError, ConnectionError
        ):
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await _bounded_http.read_body(self._response, MAX_EVENT_BYTES)
        self.close()

    def close(self) -> None:
        """Closes the connection unless the response ended.

        The engine then cancels the request.
        """
        if self._response is not None:
            self._response.close()

    async def _read_bytes(self) -> bytes:
        assert self._response is not None
        waiting_from_ms = self._observed_clock.now_ms()
        if self._first_byte_received:
            expires_ms = waiting_from_ms + self._between_bytes.timeout_ms
        else:
            expires_ms = self._sent_ms + self._first_byte.timeout_ms
        self.watch.silent_due_ms = expires_ms
        self.watch.due_ms = self.deadline_ms
        try:
            data = await self._response.content.readany()
        except _bounded_http.UnusableResponseError as error:
            kind = retry.FailureKind.PROTOCOL_ERROR
            raise _failed(kind, str(error)) from error
        except (aiohttp.ClientError, ConnectionError) as error:
            kind = retry.FailureKind.CONNECTION_LOST
            raise _failed(kind, repr(error)) from error
        finally:
            self.watch.clear()
        self._record_wait(waiting_from_ms)
        return data

    def _record_wait(self, waiting_from_ms: int) -> None:
        observed_ms = self._observed_clock.now_ms()
        if self._first_byte_received:
            self._between_bytes.record(observed_ms - waiting_from_ms)
            return
        self._first_byte_received = True
        self._first_byte.record(observed_ms - self._sent_ms)

    def _on_timeout(self) -> None:
        self.interrupt(self._timeout_error())

    def _timeout_error(self) -> Exception:
        if self._clock.now_ms() >= self.deadline_ms:
            return _attempts.DeadlinePassedError()
        if self._first_byte_received:
            self._between_bytes.back_off()
            kind = retry.FailureKind.BETWEEN_BYTES_TIMEOUT
            return _failed(kind, "no further byte arrived within the timeout")
        self._first_byte.back_off()
        kind = retry.FailureKind.FIRST_BYTE_TIMEOUT
        return _failed(kind, "no first byte arrived within the timeout")


async def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    kind = retry.FailureKind.PROTOCOL_ERROR
    if response.status in REFUSAL_STATUSES:
        kind = retry.FailureKind.REFUSED
    detail = f"status {response.status}"
    await _bounded_http.read_body(response, MAX_REFUSAL_BYTES)
    raise _failed(kind, detail)


def _decode(lines: list[bytes]) -> list[streams.EngineEvent]:
    try:
        return [_decoder.decode(line) for line in lines]
    except msgspec.MsgspecError as error:
        kind = retry.FailureKind.PROTOCOL_ERROR
        raise _failed(kind, f"invalid event: {error}") from error


def _failed(
    kind: retry.FailureKind, detail: str, bytes_written: bool = True
) -> _attempts.AttemptFailedError:
    failure = _attempts.AttemptFailure(kind, detail, bytes_written)
    return _attempts.AttemptFailedError(failure)
