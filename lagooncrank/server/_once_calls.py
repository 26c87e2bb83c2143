"""Runs calls of plain services that may not be repeated."""

import dataclasses
from typing import Final
from typing import Protocol
import urllib.parse

from lagooncrank import clock as clocks
from lagooncrank import results
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _attempts
from lagooncrank.server import _call_recorder
from lagooncrank.server import _interfaces
from lagooncrank.server import _once_answers
from lagooncrank.server import _once_client
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client

#: Time from the reservation within which the first byte must be written.
SEND_WINDOW_MS: Final = 5_000
#: Allowance for differing clocks before a reservation counts as abandoned.
CLOCK_MARGIN_MS: Final = 5_000
#: Backend servers tried while none was written to.
MAX_CONNECTS: Final = 3

_Code = results.ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    call: _plain_calls.PlainCall
    key: state.CallKey
    owner: state.CallOwner
    #: Last time at which the first byte may be written.
    send_by_ms: int


class TargetChooser(Protocol):
    """Chooses the backend server for an attempt."""

    def choose(self, query: routing.RouteQuery) -> routing.Target:
        """Returns a backend server.

        Raises:
            LagooncrankError: None can take the call.
        """


class OnceCalls:
    """Reserves a call, sends it at most once and records how it ended."""

    def __init__(
        self,
        shared: _interfaces.SharedState,
        clock: clocks.Clock,
        targets: TargetChooser,
        lookup_client: _plain_client.PlainClient,
        recorder: _call_recorder.CallRecorder,
    ) -> None:
        self._shared = shared
        self._clock = clock
        self._targets = targets
        self._lookup_client = lookup_client
        self._recorder = recorder
        self._client = _once_client.OnceClient()

    async def run(
        self, call: _plain_calls.PlainCall
    ) -> _plain_client.PlainAnswer:
        """Returns the answer of the one run, stored or fresh.

        Raises:
            LagooncrankError: The call did not run, or may have run.
        """
        key = state.CallKey(
            call.account.name, call.service.name, call.idempotency_key
        )
        known = self._shared.view.call(key)
        if known is None:
            self._targets.choose(call.query())
        elif known.state is state.CallState.FINISHED:
            # A finished call stays finished, so no quorum is needed.
            return _once_answers.repeat(call, known)
        owner = self._recorder.new_owner()
        send_by_ms = self._clock.now_ms() + SEND_WINDOW_MS
        outcome = await self._reserve(call, key, owner)
        if outcome.ok:
            reservation = _Reservation(call, key, owner, send_by_ms)
            return await self._send(reservation)
        return await self._answer_unreserved(call, key, outcome)

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
    ) -> _plain_client.PlainAnswer:
        """Sends a reserved call to one backend server after another.

        Another one is tried only while no byte was written.
        """
        excluded: frozenset[str] = frozenset()
        refusal = None
        for _ in range(MAX_CONNECTS):
            try:
                query = reservation.call.query(excluded)
                target = self._targets.choose(query)
                answer = await self._attempt(reservation, target)
            except results.LagooncrankError as error:
                refusal = refusal or error.refusal
                break
            except _attempts.AttemptFailedError as error:
                if error.failure.bytes_written:
                    return await self._after_loss(reservation, error)
                excluded |= {target.target_id}
                refusal = _once_answers.connect_refusal(target, error)
                continue
            await self._record(reservation, state.CallState.FINISHED, answer)
            return answer
        await self._record(reservation, state.CallState.NOT_RUN)
        raise results.LagooncrankError(_once_answers.not_run(refusal))

    async def _attempt(
        self, reservation: _Reservation, target: routing.Target
    ) -> _plain_client.PlainAnswer:
        call = reservation.call
        left_ms = call.deadline_ms - self._clock.now_ms()
        timeout_ms = max(1, min(call.service.timeout_ms, left_ms))
        return await self._client.send(
            target.address,
            call.request,
            timeout_ms,
            lambda: self._check_window(reservation),
        )

    def _check_window(self, reservation: _Reservation) -> None:
        """Lets the first byte be written only within the send window.

        Raises:
            LagooncrankError: The window or the caller's deadline passed.
        """
        now_ms = self._clock.now_ms()
        if now_ms > reservation.send_by_ms:
            raise results.error(
                _Code.SEND_WINDOW_PASSED,
                "the entry was held up between reserving and sending; send "
                "the call again with the same key",
            )
        if now_ms > reservation.call.deadline_ms:
            raise results.error(
                _Code.DEADLINE_EXCEEDED, "the caller stopped waiting"
            )

    async def _after_loss(
        self,
        reservation: _Reservation,
        error: _attempts.AttemptFailedError,
    ) -> _plain_client.PlainAnswer:
        await self._record(reservation, state.CallState.UNKNOWN)
        answer = await self._look_up(reservation.call, reservation.key)
        if answer is not None:
            return answer
        raise _once_answers.unknown(reservation.key) from error

    async def _record(
        self,
        reservation: _Reservation,
        call_state: state.CallState,
        answer: _plain_client.PlainAnswer | None = None,
    ) -> None:
        await self._recorder.finish(
            reservation.key,
            reservation.owner,
            call_state,
            _once_answers.stored(answer),
        )

    async def _answer_unreserved(
        self,
        call: _plain_calls.PlainCall,
        key: state.CallKey,
        outcome: state.Outcome,
    ) -> _plain_client.PlainAnswer:
        """Answers a call that was not reserved and thus is not sent."""
        record = outcome.call or self._shared.view.call(key)
        match outcome.code:
            case _Code.CALL_ALREADY_FINISHED if record is not None:
                return _once_answers.repeat(call, record)
            case _Code.CALL_IN_PROGRESS if record is not None:
                if not self._is_abandoned(call, record):
                    raise _once_answers.in_progress(key)
            case _Code.OUTCOME_UNKNOWN:
                pass
            case _Code.KEY_REUSED:
                raise results.error(outcome.code, outcome.reason)
            case _:
                ran = _once_answers.ran(record)
                raise results.error(outcome.code, outcome.reason, ran)
        answer = await self._look_up(call, key)
        if answer is not None:
            return answer
        raise _once_answers.unknown(key)

    def _is_abandoned(
        self, call: _plain_calls.PlainCall, record: state.CallRecord
    ) -> bool:
        """Whether the owner had time enough to tell how the call ended."""
        age_ms = self._clock.wall_ms() - record.reserved_wall_ms
        longest_ms = SEND_WINDOW_MS + call.service.timeout_ms
        return age_ms > longest_ms + CLOCK_MARGIN_MS

    async def _look_up(
        self, call: _plain_calls.PlainCall, key: state.CallKey
    ) -> _plain_client.PlainAnswer | None:
        """Asks the service how a call ended, if it declares a lookup.

        Only an answer of status 200 tells anything: a service that does not
        know the key may still be running the call.
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
            answer = await self._lookup_client.call(
                target.address, request, call.service.timeout_ms
            )
        except (results.LagooncrankError, _attempts.AttemptFailedError):
            return None
        if answer.status != 200:
            return None
        await self._recorder.resolve(key, _once_answers.stored(answer))
        return answer
