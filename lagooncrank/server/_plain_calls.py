"""Runs calls of plain services that are repeatable."""

import asyncio
import dataclasses

import logbook

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import retry
from lagooncrank.core import routing
from lagooncrank.server import _attempts
from lagooncrank.server import _draft_run
from lagooncrank.server import _metrics
from lagooncrank.server import _plain_client
from lagooncrank.server import _targets

RETRY_AFTER_MS = 1_000

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A caller's call of a plain service."""

    #: Unique over all entries.
    request_id: model.RequestId
    account: model.ClientAccount
    service: model.PlainService
    #: Empty unless the caller sent one.
    idempotency_key: str
    #: SHA-256 of method, path and body.
    digest: bytes
    request: _plain_client.PlainRequest
    deadline_ms: int

    def query(
        self, excluded: frozenset[str] = frozenset()
    ) -> routing.RouteQuery:
        """Returns the route query for one attempt."""
        return routing.RouteQuery(
            request_id=self.request_id,
            service=self.service.name,
            account=self.account.name,
            prompt_tokens=0,
            expected_output_tokens=0,
            excluded=excluded,
        )


class RepeatableCallRunner:
    """Runs repeatable calls over as many attempts as the policy allows."""

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: _metrics.Metrics,
        targets: _targets.TargetDirectory,
        router: routing.Router,
        retry_policy: retry.RetryPolicy,
        client: _plain_client.PlainClient,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._targets = targets
        self._router = router
        self._retry_policy = retry_policy
        self._client = client

    async def run(self, call: PlainCall) -> _plain_client.PlainResponse:
        """Returns the response of the first successful attempt.

        Raises:
            LagooncrankError: No attempt received a response.
        """
        retry_call = _retry_call(call)
        self._retry_policy.record_first_attempt(
            retry_call, self._clock.now_ms()
        )
        excluded: frozenset[str] = frozenset()
        ran = results.ExecutionStatus.NOT_RUN
        attempt = 0
        while True:
            attempt += 1
            query = call.query(excluded)
            target = self.choose(query, ran)
            try:
                return await self._attempt(call, query, target)
            except _attempts.AttemptFailedError as error:
                failure = error.failure
            if failure.bytes_written:
                ran = results.ExecutionStatus.UNKNOWN
            decision = self._handle_failure(
                retry_call, target, failure, attempt
            )
            excluded |= decision.excluded
            await asyncio.sleep(decision.delay_ms / 1_000)

    def _handle_failure(
        self,
        retry_call: retry.Call,
        target: routing.Target,
        failure: _attempts.AttemptFailure,
        attempt: int,
    ) -> retry.Retry:
        self._metrics.count_failed_attempt(failure.kind)
        fields = {"request_id": retry_call.request_id, "kind": failure.kind}
        _log.warning("call failed: {}", failure.detail, extra=fields)
        decision = self._retry_policy.handle_failure(
            retry_call,
            retry.Failure(
                failure.kind, target.target_id, failure.bytes_written, attempt
            ),
            self._clock.now_ms(),
        )
        if isinstance(decision, retry.GiveUp):
            raise results.LagooncrankError(decision.refusal)
        return decision

    def choose(
        self,
        query: routing.RouteQuery,
        ran: results.ExecutionStatus = results.ExecutionStatus.NOT_RUN,
    ) -> routing.Target:
        """Returns the backend server for an attempt.

        Args:
            query: Route query of the attempt.
            ran: Whether the previous attempts may have run the call.

        Raises:
            LagooncrankError: No backend server can run the call.
        """
        targets = self._targets.plain_targets(query.service)
        now_ms = self._clock.now_ms()
        target = self._router.choose(query, targets, now_ms)
        if target is None:
            raise results.LagooncrankError(
                results.Refusal(
                    results.ResultCode.NO_BACKEND_SERVER,
                    f"no backend server of {query.service!r} can run this "
                    "call now; retry later",
                    ran=ran,
                    retry_after_ms=RETRY_AFTER_MS,
                )
            )
        return target

    async def _attempt(
        self,
        call: PlainCall,
        query: routing.RouteQuery,
        target: routing.Target,
    ) -> _plain_client.PlainResponse:
        self._router.sent(query, target, self._clock.now_ms())
        left_ms = call.deadline_ms - self._clock.now_ms()
        timeout_ms = max(1, min(call.service.timeout_ms, left_ms))
        outcome = routing.AttemptOutcome.CANCELLED
        try:
            response = await self._client.call(
                target.address, call.request, timeout_ms
            )
            outcome = routing.AttemptOutcome.COMPLETED
            return response
        except _attempts.AttemptFailedError as error:
            outcome = _draft_run.ATTEMPT_OUTCOMES[error.failure.kind]
            raise
        finally:
            now_ms = self._clock.now_ms()
            self._router.ended(call.request_id, outcome, now_ms)


def _retry_call(call: PlainCall) -> retry.Call:
    return retry.Call(
        request_id=call.request_id,
        account=call.account.name,
        service=call.service.name,
        repeatable=call.service.repeatable,
        digest=call.digest,
        deadline_ms=call.deadline_ms,
    )
