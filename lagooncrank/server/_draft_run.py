"""Runs one completion over as many attempts as the retry policy allows."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib

import logbook

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import retry
from lagooncrank.core import routing
from lagooncrank.core import streams
from lagooncrank.server import _admission_service
from lagooncrank.server import _attempts
from lagooncrank.server import _completion
from lagooncrank.server import _completion_refusals
from lagooncrank.server import _engine_client
from lagooncrank.server import _engine_stream
from lagooncrank.server import _token_batches
from lagooncrank.server import _token_reporter

#: Interval at which the router is asked again for a target.
ROUTE_INTERVAL_S = 0.02

#: Named after the module, which keeps its name because log lines contain it.
_log = logbook.Logger(__name__)

#: Outcome under which routing records each kind of failed attempt.
ATTEMPT_OUTCOMES = {
    retry.FailureKind.CONNECT_FAILED: routing.AttemptOutcome.CONNECT_FAILED,
    retry.FailureKind.REFUSED: routing.AttemptOutcome.REFUSED,
    retry.FailureKind.CONNECTION_LOST: routing.AttemptOutcome.LOST,
    retry.FailureKind.FIRST_BYTE_TIMEOUT: routing.AttemptOutcome.SILENT,
    retry.FailureKind.BETWEEN_BYTES_TIMEOUT: routing.AttemptOutcome.SILENT,
    retry.FailureKind.PROTOCOL_ERROR: routing.AttemptOutcome.LOST,
}


class CompletionRun:
    """Runs one completion from its admission to its last token."""

    def __init__(
        self,
        context: _completion.CompletionContext,
        request: _completion.CompletionRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._retry_call = request.retry_call()
        self._progress = streams.CompletionProgress(request.request_id)
        self._stream: _engine_stream.EngineStream | None = None
        self._excluded: frozenset[str] = frozenset()
        self._token_reporter = _token_reporter.TokenReporter(context, request)
        self._attempts = 0
        self._refusals = 0
        self._ran = results.ExecutionStatus.NOT_RUN
        self._ran_before_attempt = results.ExecutionStatus.NOT_RUN

    async def batches(
        self,
    ) -> AsyncGenerator[_token_batches.TokenBatch, None]:
        """Yields the completion's tokens in batches, each once and in order.

        Raises:
            LagooncrankError: The completion failed.
        """
        self._context.crash_monitor.check(self._request.digest)
        self._check_targets()
        now_ms = self._context.clock.now_ms()
        self._context.retry_policy.record_first_attempt(
            self._retry_call, now_ms
        )
        with self._offered() as handle:
            while not self._progress.done:
                priority = await self._wait_for_start(handle)
                query, target = await self._select_target(priority)
                async with (
                    self._retried(query, target),
                    self._opened(target, priority) as (number, stream),
                ):
                    while not self._progress.done:
                        batch = self._accept(number, await stream.read())
                        if batch.tokens or batch.finish_reason:
                            yield batch
                        self._check_failure(batch)

    @contextlib.contextmanager
    def _offered(self) -> Iterator[_admission_service.RequestHandle]:
        """Offers the request to admission; counts its tokens at the end."""
        request = self._request
        with self._context.admission_service.offered(request.offer()) as handle:
            handle.on_suspend = self._suspend
            try:
                yield handle
            finally:
                tokens = self._progress.token_count
                self._context.metrics.count_output_tokens(
                    request.service.name, tokens
                )

    async def _wait_for_start(
        self, handle: _admission_service.RequestHandle
    ) -> int:
        left_ms = self._request.deadline_ms - self._context.clock.now_ms()
        try:
            async with asyncio.timeout(left_ms / 1_000):
                return await handle.wait_for_start()
        except TimeoutError as error:
            raise _completion_refusals.deadline_passed(self._ran) from error

    async def _select_target(
        self, priority: int
    ) -> tuple[routing.RouteQuery, routing.Target]:
        """Selects a target; a suspect content gets one without other suspects.

        Raises:
            LagooncrankError: The request may not run, or no target can run it.
        """
        crash_monitor = self._context.crash_monitor
        verdict = crash_monitor.check(self._request.digest, self._ran)
        suspect = verdict is retry.Verdict.ISOLATE
        query, target = await self._wait_for_target(priority, suspect)
        if suspect:
            digest = self._request.digest
            await crash_monitor.begin_trial(digest, target, self._ran)
        return query, target

    @contextlib.asynccontextmanager
    async def _retried(
        self, query: routing.RouteQuery, target: routing.Target
    ) -> AsyncIterator[None]:
        """Handles the end of an attempt.

        Suppresses an error after which another attempt is made.

        Raises:
            LagooncrankError: The attempt failed and is not retried.
        """
        self._attempts += 1
        try:
            with self._recorded(query, target):
                yield
        except _attempts.SuspendedError:
            _log.info("request suspended", extra=self._log_fields())
        except _attempts.DeadlinePassedError as error:
            raise _completion_refusals.deadline_passed(self._ran) from error
        except _attempts.AttemptFailedError as error:
            await self._handle_failure(target, error.failure)

    @contextlib.asynccontextmanager
    async def _opened(
        self, target: routing.Target, priority: int
    ) -> AsyncIterator[tuple[int, _engine_stream.EngineStream]]:
        """Sends the request; yields the attempt's number and open stream."""
        client = self._context.client
        number = self._progress.begin_attempt()
        stream = client.new_stream(self._request.service.name)
        stream.deadline_ms = self._request.deadline_ms
        generate_request = self._generate_request(target, number, priority)
        self._stream = stream
        self._ran_before_attempt = self._ran
        self._ran = results.ExecutionStatus.UNKNOWN
        try:
            async with client.opened(stream, target.address, generate_request):
                yield number, stream
        finally:
            self._stream = None
            self._token_reporter.flush()

    def _check_failure(self, batch: _token_batches.TokenBatch) -> None:
        if batch.failure is not None and not self._progress.done:
            raise _attempts.AttemptFailedError(batch.failure)

    def _accept(
        self, number: int, events: list[streams.EngineEvent]
    ) -> _token_batches.TokenBatch:
        if not events:
            raise _attempts.AttemptFailedError(
                _attempts.AttemptFailure(
                    retry.FailureKind.CONNECTION_LOST,
                    "the response ended before its last event",
                    bytes_written=True,
                )
            )
        batch = _token_batches.accept_events(self._progress, number, events)
        self._token_reporter.add(batch.tokens)
        return batch

    async def _wait_for_target(
        self, priority: int, suspect: bool
    ) -> tuple[routing.RouteQuery, routing.Target]:
        context = self._context
        while True:
            query = self._route_query(priority, suspect)
            targets = self._check_targets()
            now_ms = context.clock.now_ms()
            target = context.router.choose(query, targets, now_ms)
            if target is not None:
                return query, target
            if now_ms >= self._request.deadline_ms:
                raise _completion_refusals.deadline_passed(self._ran)
            await asyncio.sleep(ROUTE_INTERVAL_S)

    def _check_targets(self) -> tuple[routing.Target, ...]:
        targets = self._context.targets.model_targets(self._request.service)
        if all(t.target_id in self._excluded for t in targets):
            raise _completion_refusals.no_replica(
                self._request.service.name, self._ran
            )
        return targets

    @contextlib.contextmanager
    def _recorded(
        self, query: routing.RouteQuery, target: routing.Target
    ) -> Iterator[None]:
        """Reports the attempt and its end to the router and crash monitor."""
        context = self._context
        digest = self._request.digest
        context.router.sent(query, target, context.clock.now_ms())
        context.crash_monitor.record_start(digest, target)
        outcome = routing.AttemptOutcome.CANCELLED
        crashed = False
        try:
            yield
            outcome = routing.AttemptOutcome.COMPLETED
        except _attempts.AttemptFailedError as error:
            outcome = ATTEMPT_OUTCOMES[error.failure.kind]
            lost = retry.FailureKind.CONNECTION_LOST
            crashed = error.failure.kind is lost
            raise
        finally:
            now_ms = context.clock.now_ms()
            context.router.ended(query.request_id, outcome, now_ms)
            if crashed:
                context.crash_monitor.record_crash(target)
            else:
                completed = outcome is routing.AttemptOutcome.COMPLETED
                context.crash_monitor.record_finish(digest, target, completed)

    async def _handle_failure(
        self, target: routing.Target, failure: _attempts.AttemptFailure
    ) -> None:
        context = self._context
        context.metrics.count_failed_attempt(failure.kind)
        refused = failure.kind is retry.FailureKind.REFUSED
        self._refusals += refused
        if refused or not failure.bytes_written:
            self._ran = self._ran_before_attempt
        decision = context.retry_policy.handle_failure(
            self._retry_call,
            retry.Failure(
                failure.kind,
                target.target_id,
                failure.bytes_written,
                self._attempts,
                self._refusals,
            ),
            context.clock.now_ms(),
        )
        fields = self._log_fields(target=target.target_id, kind=failure.kind)
        _log.warning("attempt failed: {}", failure.detail, extra=fields)
        if failure.kind is retry.FailureKind.CONNECTION_LOST:
            await context.crash_monitor.wait_until_shared()
        if isinstance(decision, retry.GiveUp):
            raise results.LagooncrankError(decision.refusal)
        self._excluded |= decision.excluded
        await asyncio.sleep(decision.delay_ms / 1_000)

    def _route_query(self, priority: int, suspect: bool) -> routing.RouteQuery:
        request = self._request
        excluded = self._excluded
        if suspect:
            excluded |= self._context.crash_monitor.targets_with_suspects(
                request.digest
            )
        return routing.RouteQuery(
            request_id=request.request_id,
            service=request.service.name,
            account=request.account.name,
            prompt_tokens=request.prompt_tokens,
            expected_output_tokens=request.max_tokens,
            prefix_digests=routing.prefix_digests(request.prompt),
            excluded=excluded,
            priority=priority,
            isolated=suspect,
        )

    def _generate_request(
        self, target: routing.Target, attempt: int, priority: int
    ) -> _engine_client.GenerateRequest:
        request = self._request
        replica = self._context.shared.view.replicas[
            model.ReplicaId(target.target_id)
        ]
        return _engine_client.GenerateRequest(
            request_id=request.request_id,
            attempt=attempt,
            replica_id=replica.replica_id,
            fencing_number=replica.fencing_number,
            prompt=request.prompt,
            resume_from=self._progress.resume_from(),
            max_tokens=request.max_tokens,
            priority=priority,
        )

    def _suspend(self) -> None:
        if self._stream is not None:
            self._stream.interrupt(_attempts.SuspendedError())

    def _log_fields(self, **extra: str) -> dict[str, str]:
        return {
            "request_id": self._request.request_id,
            "account": self._request.account.name,
            "service": self._request.service.name,
            **extra,
        }
