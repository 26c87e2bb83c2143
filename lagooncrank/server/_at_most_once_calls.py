"""Runs calls of plain services that must run at most once."""

import dataclasses
from typing import Final
from typing import Protocol
import urllib.parse

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank import results
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _at_most_once_client
from lagooncrank.server import _at_most_once_results
from lagooncrank.server import _attempts
from lagooncrank.server import _call_recorder
from lagooncrank.server import _interfaces
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client

#: Time from the reservation within which the first byte must be written.
SEND_WINDOW_MS: Final = 5_000
#: Tolerated clock difference before a reservation counts as abandoned.
CLOCK_MARGIN_MS: Final = 5_000
#: Backend servers tried as long as no byte was written.
MAX_CONNECT_ATTEMPTS: Final = 3

_Code = results.ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    call: _plain_calls.PlainCall
    key: state.CallKey
    owner: state.CallOwner
    #: Latest time at which the first byte may be written.
    send_by_ms: int


class TargetChooser(Protocol):
    """Chooses the backend server for an attempt."""

    def choose(self, query: routing.RouteQuery) -> routing.Target:
        """Returns a backend server.

        Raises:
            LagooncrankError: No backend server can run the call.
        """


class AtMostOnceCallRunner:
    """Reserves a call, sends it at most once and records how it ended."""

    def __init__(
        self,
        shared: _interfaces.SharedState,
        clock: clocks.Clock,
        targets: TargetChooser,
        lookup_client: _plain_client.PlainClient,
        recorder: _call_recorder.CallRecorder,
        observed_clock: observed_time.ObservedClock,
    ) -> None:
        self._shared = shared
        self._clock = clock
        self._targets = targets
        self._lookup_client = lookup_client
        self._recorder = recorder
        self._client = _at_most_once_client.AtMostOnceClient(observed_clock)

    async def run(
        self, call: _plain_calls.PlainCall
    ) -> _plain_client.PlainResponse:
        """Returns the response of the call's only run, new or stored.

        Raises:
            LagooncrankError: The call was not run, or its outcome is unknown.
        """
        key = state.CallKey(
            call.account.name, call.service.name, call.idempotency_key
        )
        record = self._shared.view.call(key)
        if record is None:
            self._targets.choose(call.query())
        elif record.state is state.CallState.FINISHED:
            # A finished call stays finished, so no quorum is needed.
            return _at_most_once_results.replay(call, record)
        owner = self._recorder.new_owner()
        send_by_ms = self._clock.now_ms() + SEND_WINDOW_MS
        outcome = await self._reserve(call, key, owner)
        if outcome.ok:
            reservation = _Reservation(call, key, owner, send_by_ms)
            return await self._send(reservation)
        return await self._respond_without_sending(call, key, outcome)

    async def _reserve(
        self,
        call: _plain_calls.PlainCall,
        key: state.CallKey,
        owner: state.CallOwner,
    ) -> state.Outcome:
        return await self._recorder.reserve(
            state.ReserveCall(
                call=key,
                body_digest=call.digest,
                owner=owner,
                wall_ms=self._clock.wall_ms(),
                retention_ms=call.service.answer_retention_ms,
            )
        )

    async def _send(
        self, reservation: _Reservation
    ) -> _plain_client.PlainResponse:
        """Sends a reserved call to a backend server.

        Tries another backend server only while no byte was written.
        """
        excluded: frozenset[str] = frozenset()
        refusal = None
        for _ in range(MAX_CONNECT_ATTEMPTS):
            try:
                query = reservation.call.query(excluded)
                target = self._targets.choose(query)
                response = await self._attempt(reservation, target)
            except results.LagooncrankError as error:
                refusal = refusal or error.refusal
                break
            except _attempts.AttemptFailedError as error:
                if error.failure.bytes_written:
                    return await self._handle_loss(reservation, error)
                excluded |= {target.target_id}
                refusal = _at_most_once_results.connect_refusal(target, error)
                continue
            await self._record(reservation, state.CallState.FINISHED, response)
            return response
        await self._record(reservation, state.CallState.NOT_RUN)
        raise results.LagooncrankError(_at_most_once_results.not_run(refusal))

    async def _attempt(
        self, reservation: _Reservation, target: routing.Target
    ) -> _plain_client.PlainResponse:
        call = reservation.call
        left_ms = call.deadline_ms - self._clock.now_ms()
        timeout_ms = max(1, min(call.service.timeout_ms, left_ms))
        return await self._client.send(
            target.address,
            call.request,
            timeout_ms,
            lambda: self._check_send_window(reservation),
        )

    def _check_send_window(self, reservation: _Reservation) -> None:
        """Checks that the first byte may still be written.

        Raises:
            LagooncrankError: The send window or the caller's deadline passed.
        """
        now_ms = self._clock.now_ms()
        if now_ms > reservation.send_by_ms:
            raise results.error(
                _Code.SEND_WINDOW_PASSED,
                "the entry was delayed between reserving and sending; send "
                "the call again with the same key",
            )
        if now_ms > reservation.call.deadline_ms:
            raise results.error(
                _Code.DEADLINE_EXCEEDED, "the caller's deadline passed"
            )

    async def _handle_loss(
        self,
        reservation: _Reservation,
        error: _attempts.AttemptFailedError,
    ) -> _plain_client.PlainResponse:
        """Looks up the outcome of a call whose response was lost."""
        await self._record(reservation, state.CallState.UNKNOWN)
        response = await self._look_up(reservation.call, reservation.key)
        if response is not None:
            return response
        raise _at_most_once_results.unknown(reservation.key) from error

    async def _record(
        self,
        reservation: _Reservation,
        call_state: state.CallState,
        response: _plain_client.PlainResponse | None = None,
    ) -> None:
        await self._recorder.finish(
            reservation.key,
            reservation.owner,
            call_state,
            _at_most_once_results.stored_answer(response),
        )

    async def _respond_without_sending(
        self,
        call: _plain_calls.PlainCall,
        key: state.CallKey,
        outcome: state.Outcome,
    ) -> _plain_client.PlainResponse:
        """Returns the response to a call that could not be reserved."""
        record = outcome.call or self._shared.view.call(key)
        match outcome.code:
            case _Code.CALL_ALREADY_FINISHED if record is not None:
                return _at_most_once_results.replay(call, record)
            case _Code.CALL_IN_PROGRESS if record is not None:
                if not self._is_abandoned(call, record):
                    raise _at_most_once_results.in_progress(key)
            case _Code.OUTCOME_UNKNOWN:
                pass
            case _Code.KEY_REUSED:
                raise results.error(outcome.code, outcome.reason)
            case _:
                ran = _at_most_once_results.execution_status(record)
                raise results.error(outcome.code, outcome.reason, ran)
        response = await self._look_up(call, key)
        if response is not None:
            return response
        raise _at_most_once_results.unknown(key)

    def _is_abandoned(
        self, call: _plain_calls.PlainCall, record: state.CallRecord
    ) -> bool:
        """Returns whether the owner should have recorded the end by now."""
        age_ms = self._clock.wall_ms() - record.reserved_wall_ms
        longest_ms = SEND_WINDOW_MS + call.service.timeout_ms
        return age_ms > longest_ms + CLOCK_MARGIN_MS

    async def _look_up(
        self, call: _plain_calls.PlainCall, key: state.CallKey
    ) -> _plain_client.PlainResponse | None:
        """Queries the service for a call's outcome, if it declares a lookup.

        Only status 200 proves an outcome: a service that does not know the key
        may still be running the call.
        """
        path = call.service.outcome_lookup_path
        if path is None:
            return None
        quoted = urllib.parse.quote(key.key, safe="")
        request = _plain_client.PlainRequest(
            "GET", path.replace("{key}", quoted), (), b""
        )
        try:
            target = self._targets.choose(call.query())
            response = await self._lookup_client.call(
                target.address, request, call.service.timeout_ms
            )
        except (results.LagooncrankError, _attempts.AttemptFailedError):
            return None
        if response.status != 200:
            return None
        await self._recorder.resolve(
            key, _at_most_once_results.stored_answer(response)
        )
        return response
