"""Runs calls of plain services that may not be repeated."""

import itertools

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _attempts
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client
from lagooncrank.server import _ports

PROPOSE_TIMEOUT_MS = 3_000
MAX_STORED_BYTES = 16_384
CONTENT_TYPE = "Content-Type"
REPLAYED = ("Idempotency-Replayed", "true")


class OnceCalls:
    """Reserves a call, sends it at most once and records how it ended."""

    def __init__(
        self,
        node_id: model.NodeId,
        incarnation: int,
        shared: _ports.SharedState,
        clock: clocks.Clock,
        plain_calls: _plain_calls.PlainCalls,
        client: _plain_client.PlainClient,
    ) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._sequences = itertools.count(1)
        self._shared = shared
        self._clock = clock
        self._plain_calls = plain_calls
        self._client = client

    async def run(
        self, call: _plain_calls.PlainCall
    ) -> _plain_client.PlainAnswer:
        """Returns the answer of the one run, stored or fresh.

        Raises:
            LagooncrankError: The call did not run, or may have run.
        """
        target = self._plain_calls.choose(_query(call))
        owner = self._new_owner()
        key = state.CallKey(
            call.account.name, call.service.name, call.idempotency_key
        )
        outcome = await self._reserve(key, owner, call)
        record = outcome.call
        if record is not None and record.owner != owner:
            return _repeat(record, outcome)
        if not outcome.ok:
            raise _error(outcome.code, outcome.reason)
        return await self._send(key, owner, call, target)

    async def _send(
        self,
        key: state.CallKey,
        owner: state.CallOwner,
        call: _plain_calls.PlainCall,
        target: routing.Target,
    ) -> _plain_client.PlainAnswer:
        try:
            answer = await self._client.call_once(
                target.address, call.request, call.service.timeout_ms
            )
        except _attempts.AttemptFailedError as error:
            raise await self._after_failure(key, owner, error) from error
        await self._finish(key, owner, state.CallState.FINISHED, answer)
        return answer

    async def _after_failure(
        self,
        key: state.CallKey,
        owner: state.CallOwner,
        error: _attempts.AttemptFailedError,
    ) -> results.LagooncrankError:
        failure = error.failure
        if failure.bytes_written:
            await self._finish(key, owner, state.CallState.UNKNOWN, None)
            return _error(
                results.ResultCode.OUTCOME_UNKNOWN,
                "the call was sent and no answer came; ask for its outcome",
                results.Ran.UNKNOWN,
            )
        await self._finish(key, owner, state.CallState.NOT_RUN, None)
        return _error(results.ResultCode.CONNECT_FAILED, failure.detail)

    async def _reserve(
        self,
        key: state.CallKey,
        owner: state.CallOwner,
        call: _plain_calls.PlainCall,
    ) -> state.Outcome:
        command = state.ReserveCall(
            call=key,
            body_digest=call.digest,
            owner=owner,
            wall_ms=self._clock.wall_ms(),
            retention_ms=call.service.answer_retention_ms,
        )
        return await self._shared.propose(command, PROPOSE_TIMEOUT_MS)

    async def _finish(
        self,
        key: state.CallKey,
        owner: state.CallOwner,
        call_state: state.CallState,
        answer: _plain_client.PlainAnswer | None,
    ) -> None:
        command = state.FinishCall(
            call=key,
            owner=owner,
            state=call_state,
            wall_ms=self._clock.wall_ms(),
            answer=_stored(answer),
        )
        await self._shared.propose(command, PROPOSE_TIMEOUT_MS)

    def _new_owner(self) -> state.CallOwner:
        return state.CallOwner(
            self._node_id, self._incarnation, next(self._sequences)
        )


def _query(call: _plain_calls.PlainCall) -> routing.RouteQuery:
    return routing.RouteQuery(
        request_id=call.request_id,
        service=call.service.name,
        account=call.account.name,
        prompt_tokens=0,
        expected_output_tokens=0,
    )


def _stored(
    answer: _plain_client.PlainAnswer | None,
) -> state.StoredAnswer | None:
    if answer is None or len(answer.body) > MAX_STORED_BYTES:
        return None
    headers = dict(answer.headers)
    content_type = headers.get(CONTENT_TYPE, "application/octet-stream")
    return state.StoredAnswer(answer.status, content_type, answer.body)


def _repeat(
    record: state.CallRecord, outcome: state.Outcome
) -> _plain_client.PlainAnswer:
    stored = record.answer
    finished = outcome.code is results.ResultCode.CALL_ALREADY_FINISHED
    if finished and stored is not None:
        headers = ((CONTENT_TYPE, stored.content_type), REPLAYED)
        return _plain_client.PlainAnswer(stored.status, headers, stored.body)
    raise _error(outcome.code, outcome.reason, _ran(record))


def _ran(record: state.CallRecord) -> results.Ran:
    if record.state is state.CallState.FINISHED:
        return results.Ran.RAN
    return results.Ran.UNKNOWN


def _error(
    code: results.ResultCode,
    reason: str,
    ran: results.Ran = results.Ran.NOT_RUN,
) -> results.LagooncrankError:
    return results.LagooncrankError(results.Refusal(code, reason, ran))
