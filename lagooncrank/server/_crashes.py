"""Shares which request contents were running when a target crashed."""

import asyncio
import contextlib

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import retry
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _interfaces

PROPOSE_TIMEOUT_MS = 5_000
#: Delay before a crash record that was not committed is proposed again.
SHARE_RETRY_INTERVAL_S = 0.5
SHARE_ATTEMPTS = 20
#: Maximum wait for crash records to commit before a caller is answered.
SHARE_WAIT_S = 0.5
#: Retry delay for callers whose suspect content cannot run now, for example
#: because another request with the same content is on trial.
TRIAL_RETRY_AFTER_MS = 5_000


def target_incarnation_id(target: routing.Target) -> str:
    """Returns an id of one incarnation of a target."""
    return f"{target.target_id}@{target.incarnation}"


class CrashMonitor(mode.Service):
    """Reports runs and crashes to the suspicion policy and shares its records.

    Crash records are shared with the other entries by the replicated log.
    """

    def __init__(
        self,
        suspicion: retry.SuspicionPolicy,
        shared: _interfaces.SharedState,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._suspicion = suspicion
        self._shared = shared
        self._clock = clock
        self._to_share: asyncio.Queue[state.Command] = asyncio.Queue()
        #: Runs of suspect contents whose crash was recorded in advance.
        self._trials: set[tuple[bytes, str]] = set()
        shared.on_applied(self._on_applied)

    def check(
        self,
        digest: bytes,
        ran: results.ExecutionStatus = results.ExecutionStatus.NOT_RUN,
    ) -> retry.Verdict:
        """Returns with which restriction a content may run.

        Args:
            digest: SHA-256 of the content.
            ran: Whether this request was run before.

        Raises:
            LagooncrankError: The content crashed too many targets.
        """
        verdict = self._suspicion.verdict(digest, self._clock.now_ms())
        if verdict is retry.Verdict.REFUSE:
            raise _quarantined(digest, ran)
        return verdict

    def targets_with_suspects(self, digest: bytes) -> frozenset[str]:
        """Returns the ids of targets that run another suspect content."""
        now_ms = self._clock.now_ms()
        targets = self._suspicion.targets_with_suspects(digest, now_ms)
        return frozenset(target.rpartition("@")[0] for target in targets)

    async def begin_trial(
        self,
        digest: bytes,
        target: routing.Target,
        ran: results.ExecutionStatus,
    ) -> None:
        """Records a crash of a target before it runs a suspect content.

        The order of crash records in the replicated log ensures that only one
        request with the content is on trial at a time, whichever entries
        receive such requests.

        Raises:
            LagooncrankError: The record did not commit, or another request
                with the content is on trial.
        """
        victim = target_incarnation_id(target)
        command = self._record_command(retry.CrashRecord(digest, victim))
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if not outcome.ok:
            raise _not_recorded(outcome, ran)
        record = self._shared.view.crash_records.get(digest)
        victims = record.victims if record else ()
        if victim not in victims[: retry.MAX_CRASHED_TARGETS]:
            raise _quarantined(digest, ran, TRIAL_RETRY_AFTER_MS)
        self._trials.add((digest, victim))

    async def wait_until_shared(self) -> None:
        """Waits up to `SHARE_WAIT_S` until all crash records are committed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHARE_WAIT_S):
                await self._to_share.join()

    def record_start(self, digest: bytes, target: routing.Target) -> None:
        """Records that a content started to run on a target."""
        now_ms = self._clock.now_ms()
        self._suspicion.record_start(
            digest, target_incarnation_id(target), now_ms
        )

    def record_finish(
        self, digest: bytes, target: routing.Target, completed: bool
    ) -> None:
        """Records that a run of a content ended without a crash."""
        now_ms = self._clock.now_ms()
        target_id = target_incarnation_id(target)
        cleared = self._suspicion.record_finish(
            digest, target_id, now_ms, completed
        )
        on_trial = (digest, target_id) in self._trials
        self._trials.discard((digest, target_id))
        if cleared:
            self._to_share.put_nowait(state.ClearContentCrashes(digest))
        elif on_trial:
            self._withdraw_trial(digest, target_id)

    def record_crash(self, target: routing.Target) -> None:
        """Records a target's crash and shares the resulting crash records."""
        now_ms = self._clock.now_ms()
        victim = target_incarnation_id(target)
        for record in self._suspicion.record_crash(victim, now_ms):
            self._trials.discard((record.digest, victim))
            self._to_share.put_nowait(self._record_command(record))

    def _withdraw_trial(self, digest: bytes, target_id: str) -> None:
        """Removes the record of a trial that ended early; keeps the others."""
        record = self._shared.view.crash_records.get(digest)
        victims = record.victims if record else ()
        self._to_share.put_nowait(state.ClearContentCrashes(digest))
        for victim in victims:
            if victim != target_id:
                crash = retry.CrashRecord(digest, victim)
                self._to_share.put_nowait(self._record_command(crash))

    def _record_command(
        self, record: retry.CrashRecord
    ) -> state.RecordContentCrash:
        wall_ms = self._clock.wall_ms()
        return state.RecordContentCrash(
            digest=record.digest,
            victim=record.victim,
            wall_ms=wall_ms,
            lapses_wall_ms=wall_ms + self._suspicion_ms(),
        )

    @mode.Service.task
    async def _share_records(self) -> None:
        while not self.should_stop:
            command = await self._to_share.get()
            await self._share(command)
            self._to_share.task_done()

    async def _share(self, command: state.Command) -> None:
        for _ in range(SHARE_ATTEMPTS):
            outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
            if outcome.ok:
                return
            await self.sleep(SHARE_RETRY_INTERVAL_S)

    def _suspicion_ms(self) -> int:
        record = self._shared.view.configuration
        rules = record.declarations.retries if record else model.RetryRules()
        return rules.suspicion_ms

    def _on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        if not outcome.ok:
            return
        if isinstance(command, state.ApplyDeclarations):
            self._add_all_records()
        elif isinstance(command, state.RecordContentCrash):
            record = retry.CrashRecord(command.digest, command.victim)
            self._add_record(record, command.lapses_wall_ms)
        elif isinstance(command, state.ClearContentCrashes):
            self._suspicion.clear_records(command.digest)

    def _add_all_records(self) -> None:
        """Adds every record of the state to the suspicion policy.

        Needed after a snapshot, whose records are not applied as commands.
        """
        for content in self._shared.view.crash_records.values():
            for victim in content.victims:
                record = retry.CrashRecord(content.digest, victim)
                self._add_record(record, content.lapses_wall_ms)

    def _add_record(
        self, record: retry.CrashRecord, expires_wall_ms: int
    ) -> None:
        remaining_ms = expires_wall_ms - self._clock.wall_ms()
        self._suspicion.add_record(record, self._clock.now_ms() + remaining_ms)


def _quarantined(
    digest: bytes,
    ran: results.ExecutionStatus,
    retry_after_ms: int | None = None,
) -> results.LagooncrankError:
    return results.LagooncrankError(
        results.Refusal(
            results.ResultCode.REQUEST_QUARANTINED,
            "requests with this content crashed backend servers; an operator "
            f"can lift the quarantine of digest {digest.hex()}",
            ran=ran,
            retry_after_ms=retry_after_ms,
        )
    )


def _not_recorded(
    outcome: state.Outcome, ran: results.ExecutionStatus
) -> results.LagooncrankError:
    return results.LagooncrankError(
        results.Refusal(
            outcome.code,
            "this content was running when a backend server crashed and may "
            "run again only once that is recorded, which failed: "
            f"{outcome.reason}; retry later",
            ran=ran,
            retry_after_ms=TRIAL_RETRY_AFTER_MS,
        )
    )
