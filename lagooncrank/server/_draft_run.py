"""Runs one draft over as many attempts as the retry policy allows."""

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
from lagooncrank.server import _admission_desk
from lagooncrank.server import _attempts
from lagooncrank.server import _draft_refusals
from lagooncrank.server import _drafts
from lagooncrank.server import _engine_client
from lagooncrank.server import _engine_stream
from lagooncrank.server import _relay
from lagooncrank.server import _token_notes

#: Pause before the router is asked again for a target with room.
ROUTE_INTERVAL_S = 0.02

_log = logbook.Logger(__name__)

#: How routing counts each kind of failed attempt.
ATTEMPT_ENDS = {
    retry.FailureKind.CONNECT_FAILED: routing.AttemptOutcome.CONNECT_FAILED,
    retry.FailureKind.REFUSED: routing.AttemptOutcome.REFUSED,
    retry.FailureKind.CONNECTION_LOST: routing.AttemptOutcome.LOST,
    retry.FailureKind.FIRST_BYTE_TIMEOUT: routing.AttemptOutcome.SILENT,
    retry.FailureKind.BETWEEN_BYTES_TIMEOUT: routing.AttemptOutcome.SILENT,
    retry.FailureKind.PROTOCOL_ERROR: routing.AttemptOutcome.LOST,
}


class DraftRun:
    """State of one draft between its admission and its last token."""

    def __init__(self, parts: _drafts.DraftParts, draft: _drafts.Draft) -> None:
        self._parts = parts
        self._draft = draft
        self._call = draft.call()
        self._progress = streams.CompletionProgress(draft.request_id)
        self._stream: _engine_stream.EngineStream | None = None
        self._excluded: frozenset[str] = frozenset()
        self._notes = _token_notes.TokenNotes(parts, draft)
        self._attempts = 0
        self._refusals = 0
        self._ran = results.ExecutionStatus.NOT_RUN
        self._ran_before_attempt = results.ExecutionStatus.NOT_RUN

    async def batches(self) -> AsyncGenerator[_relay.TokenBatch, None]:
        """Yields the whole answer, once and in order.

        Raises:
            LagooncrankError: The answer cannot be completed.
        """
        self._parts.crashes.check(self._draft.digest)
        self._check_targets()
        now_ms = self._parts.clock.now_ms()
        self._parts.retry_policy.record_first_attempt(self._call, now_ms)
        with self._admitted() as ticket:
            while not self._progress.done:
                priority = await self._wait_for_start(ticket)
                query, target = await self._placed(priority)
                async with (
                    self._followed(query, target),
                    self._opened(target, priority) as (number, stream),
                ):
                    while not self._progress.done:
                        batch = self._take(number, await stream.read())
                        if batch.tokens or batch.finish_reason:
                            yield batch
                        self._check_failure(batch)

    @contextlib.contextmanager
    def _admitted(self) -> Iterator[_admission_desk.Ticket]:
        """Offers the draft to admission and counts its tokens at the end."""
        draft = self._draft
        with self._parts.desk.offered(draft.offer()) as ticket:
            ticket.on_suspend = self._suspend
            try:
                yield ticket
            finally:
                tokens = self._progress.token_count
                self._parts.metrics.count_output_tokens(
                    draft.service.name, tokens
                )

    async def _wait_for_start(self, ticket: _admission_desk.Ticket) -> int:
        left_ms = self._draft.deadline_ms - self._parts.clock.now_ms()
        try:
            async with asyncio.timeout(left_ms / 1_000):
                return await ticket.wait_for_start()
        except TimeoutError as error:
            raise _draft_refusals.deadline_passed(self._ran) from error

    async def _placed(
        self, priority: int
    ) -> tuple[routing.RouteQuery, routing.Target]:
        """Finds a target, one without other suspects for a suspect content.

        Raises:
            LagooncrankError: The draft may not run, or nowhere.
        """
        crashes = self._parts.crashes
        verdict = crashes.check(self._draft.digest, self._ran)
        suspect = verdict is retry.Verdict.ISOLATE
        query, target = await self._choose(priority, suspect)
        if suspect:
            digest = self._draft.digest
            await crashes.begin_trial(digest, target, self._ran)
        return query, target

    @contextlib.asynccontextmanager
    async def _followed(
        self, query: routing.RouteQuery, target: routing.Target
    ) -> AsyncIterator[None]:
        """Ends an attempt's failure here if another attempt follows.

        Raises:
            LagooncrankError: No other attempt follows.
        """
        self._attempts += 1
        try:
            with self._noted(query, target):
                yield
        except _attempts.SuspendedError:
            _log.info("request suspended", extra=self._log_fields())
        except _attempts.DeadlinePassedError as error:
            raise _draft_refusals.deadline_passed(self._ran) from error
        except _attempts.AttemptFailedError as error:
            await self._after_failure(target, error.failure)

    @contextlib.asynccontextmanager
    async def _opened(
        self, target: routing.Target, priority: int
    ) -> AsyncIterator[tuple[int, _engine_stream.EngineStream]]:
        """Sends the request and yields its number and the open answer."""
        client = self._parts.client
        number = self._progress.begin_attempt()
        stream = client.new_stream(self._draft.service.name)
        stream.deadline_ms = self._draft.deadline_ms
        request = self._generate_request(target, number, priority)
        self._stream = stream
        self._ran_before_attempt = self._ran
        self._ran = results.ExecutionStatus.UNKNOWN
        try:
            async with client.opened(stream, target.address, request):
                yield number, stream
        finally:
            self._stream = None
            self._notes.flush()

    def _check_failure(self, batch: _relay.TokenBatch) -> None:
        if batch.failure is not None and not self._progress.done:
            raise _attempts.AttemptFailedError(batch.failure)

    def _take(
        self, number: int, events: list[streams.EngineEvent]
    ) -> _relay.TokenBatch:
        if not events:
            raise _attempts.AttemptFailedError(
                _attempts.AttemptFailure(
                    retry.FailureKind.CONNECTION_LOST,
                    "the answer ended before its last event",
                    bytes_written=True,
                )
            )
        batch = _relay.take_batch(self._progress, number, events)
        self._notes.add(batch.tokens)
        return batch

    async def _choose(
        self, priority: int, suspect: bool
    ) -> tuple[routing.RouteQuery, routing.Target]:
        parts = self._parts
        while True:
            query = self._query(priority, suspect)
            targets = self._check_targets()
            now_ms = parts.clock.now_ms()
            target = parts.router.choose(query, targets, now_ms)
            if target is not None:
                return query, target
            if now_ms >= self._draft.deadline_ms:
                raise _draft_refusals.deadline_passed(self._ran)
            await asyncio.sleep(ROUTE_INTERVAL_S)

    def _check_targets(self) -> tuple[routing.Target, ...]:
        targets = self._parts.targets.of_model(self._draft.service)
        if all(t.target_id in self._excluded for t in targets):
            raise _draft_refusals.no_replica(
                self._draft.service.name, self._ran
            )
        return targets

    @contextlib.contextmanager
    def _noted(
        self, query: routing.RouteQuery, target: routing.Target
    ) -> Iterator[None]:
        """Tells routing and suspicion of an attempt and of its end."""
        parts = self._parts
        digest = self._draft.digest
        parts.router.sent(query, target, parts.clock.now_ms())
        parts.crashes.record_start(digest, target)
        end = routing.AttemptOutcome.CANCELLED
        crashed = False
        try:
            yield
            end = routing.AttemptOutcome.COMPLETED
        except _attempts.AttemptFailedError as error:
            end = ATTEMPT_ENDS[error.failure.kind]
            lost = retry.FailureKind.CONNECTION_LOST
            crashed = error.failure.kind is lost
            raise
        finally:
            now_ms = parts.clock.now_ms()
            parts.router.ended(query.request_id, end, now_ms)
            if crashed:
                parts.crashes.target_crashed(target)
            else:
                completed = end is routing.AttemptOutcome.COMPLETED
                parts.crashes.record_finish(digest, target, completed)

    async def _after_failure(
        self, target: routing.Target, failure: _attempts.AttemptFailure
    ) -> None:
        parts = self._parts
        parts.metrics.count_failed_attempt(failure.kind)
        refused = failure.kind is retry.FailureKind.REFUSED
        self._refusals += refused
        if refused or not failure.bytes_written:
            self._ran = self._ran_before_attempt
        decision = parts.retry_policy.handle_failure(
            self._call,
            retry.Failure(
                failure.kind,
                target.target_id,
                failure.bytes_written,
                self._attempts,
                self._refusals,
            ),
            parts.clock.now_ms(),
        )
        fields = self._log_fields(target=target.target_id, kind=failure.kind)
        _log.warning("attempt failed: {}", failure.detail, extra=fields)
        if failure.kind is retry.FailureKind.CONNECTION_LOST:
            await parts.crashes.settle()
        if isinstance(decision, retry.GiveUp):
            raise results.LagooncrankError(decision.refusal)
        self._excluded |= decision.excluded
        await asyncio.sleep(decision.delay_ms / 1_000)

    def _query(self, priority: int, suspect: bool) -> routing.RouteQuery:
        draft = self._draft
        excluded = self._excluded
        if suspect:
            excluded |= self._parts.crashes.targets_with_suspects(draft.digest)
        return routing.RouteQuery(
            request_id=draft.request_id,
            service=draft.service.name,
            account=draft.account.name,
            prompt_tokens=draft.prompt_tokens,
            expected_output_tokens=draft.max_tokens,
            prefix_digests=routing.prefix_digests(draft.prompt),
            excluded=excluded,
            priority=priority,
            isolated=suspect,
        )

    def _generate_request(
        self, target: routing.Target, attempt: int, priority: int
    ) -> _engine_client.GenerateRequest:
        draft = self._draft
        replica = self._parts.shared.view.replicas[
            model.ReplicaId(target.target_id)
        ]
        return _engine_client.GenerateRequest(
            request_id=draft.request_id,
            attempt=attempt,
            replica_id=replica.replica_id,
            fencing_number=replica.fencing_number,
            prompt=draft.prompt,
            resume_from=self._progress.resume_from(),
            max_tokens=draft.max_tokens,
            priority=priority,
        )

    def _suspend(self) -> None:
        if self._stream is not None:
            self._stream.interrupt(_attempts.SuspendedError())

    def _log_fields(self, **more: str) -> dict[str, str]:
        return {
            "request_id": self._draft.request_id,
            "account": self._draft.account.name,
            "service": self._draft.service.name,
            **more,
        }
