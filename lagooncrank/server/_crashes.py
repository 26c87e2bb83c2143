"""Shares which request contents were present when a target crashed."""

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
#: Pause before a mark that was not committed is proposed again.
SHARE_AGAIN_S = 0.5
SHARE_ATTEMPTS = 20
#: Longest wait for marks to be committed before a caller is answered.
SETTLE_S = 0.5
#: When a content that is being tried elsewhere may be asked for again.
TRIAL_RETRY_AFTER_MS = 5_000


def victim_of(target: routing.Target) -> str:
    """Returns the name of one start of a target."""
    return f"{target.target_id}@{target.incarnation}"


class CrashWatch(mode.Service):
    """Tells the suspicion policy of runs and crashes, and shares its marks."""

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
        #: Runs of suspect contents that were marked beforehand.
        self._trials: set[tuple[bytes, str]] = set()
        shared.on_applied(self._on_applied)

    def check(
        self,
        digest: bytes,
        ran: results.ExecutionStatus = results.ExecutionStatus.NOT_RUN,
    ) -> retry.Verdict:
        """Returns how a content may be run.

        Args:
            digest: SHA-256 of the content.
            ran: Whether the request at hand ran so far.

        Raises:
            LagooncrankError: The content crashed too many targets.
        """
        verdict = self._suspicion.verdict(digest, self._clock.now_ms())
        if verdict is retry.Verdict.REFUSE:
            raise _quarantined(digest, ran)
        return verdict

    def targets_with_suspects(self, digest: bytes) -> frozenset[str]:
        """Returns the targets at which another suspect content runs."""
        now_ms = self._clock.now_ms()
        victims = self._suspicion.targets_with_suspects(digest, now_ms)
        return frozenset(victim.rpartition("@")[0] for victim in victims)

    async def begin_trial(
        self,
        digest: bytes,
        target: routing.Target,
        ran: results.ExecutionStatus,
    ) -> None:
        """Marks a suspect content with a target before it runs there.

        The order of the marks in the shared log lets one copy of a content be
        tried at a time, whichever entries it is sent through.

        Raises:
            LagooncrankError: The mark did not commit, or another copy of the
                content is being tried.
        """
        victim = victim_of(target)
        command = self._mark(retry.CrashRecord(digest, victim))
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if not outcome.ok:
            raise _not_marked(outcome, ran)
        mark = self._shared.view.crash_records.get(digest)
        victims = mark.victims if mark else ()
        if victim not in victims[: retry.MAX_CRASHED_TARGETS]:
            raise _quarantined(digest, ran, TRIAL_RETRY_AFTER_MS)
        self._trials.add((digest, victim))

    async def settle(self) -> None:
        """Waits a little until the marks of a crash are committed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                await self._to_share.join()

    def record_start(self, digest: bytes, target: routing.Target) -> None:
        """Notes that a content runs at a target."""
        now_ms = self._clock.now_ms()
        self._suspicion.record_start(digest, victim_of(target), now_ms)

    def record_finish(
        self, digest: bytes, target: routing.Target, completed: bool
    ) -> None:
        """Notes that a content left a target without a crash."""
        now_ms = self._clock.now_ms()
        victim = victim_of(target)
        cleared = self._suspicion.record_finish(
            digest, victim, now_ms, completed
        )
        tried = (digest, victim) in self._trials
        self._trials.discard((digest, victim))
        if cleared:
            self._to_share.put_nowait(state.ClearContentCrashes(digest))
        elif tried:
            self._take_trial_back(digest, victim)

    def target_crashed(self, target: routing.Target) -> None:
        """Takes a target's crash and shares the marks that it leaves."""
        now_ms = self._clock.now_ms()
        victim = victim_of(target)
        for mark in self._suspicion.record_crash(victim, now_ms):
            self._trials.discard((mark.digest, victim))
            self._to_share.put_nowait(self._mark(mark))

    def _take_trial_back(self, digest: bytes, victim: str) -> None:
        """Removes the mark of a trial that ended early, and keeps the rest."""
        mark = self._shared.view.crash_records.get(digest)
        others = mark.victims if mark else ()
        self._to_share.put_nowait(state.ClearContentCrashes(digest))
        for other in others:
            if other != victim:
                crash = retry.CrashRecord(digest, other)
                self._to_share.put_nowait(self._mark(crash))

    def _mark(self, mark: retry.CrashRecord) -> state.RecordContentCrash:
        wall_ms = self._clock.wall_ms()
        return state.RecordContentCrash(
            digest=mark.digest,
            victim=mark.victim,
            wall_ms=wall_ms,
            lapses_wall_ms=wall_ms + self._suspicion_ms(),
        )

    @mode.Service.task
    async def _share_marks(self) -> None:
        while not self.should_stop:
            command = await self._to_share.get()
            await self._share(command)
            self._to_share.task_done()

    async def _share(self, command: state.Command) -> None:
        for _ in range(SHARE_ATTEMPTS):
            outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
            if outcome.ok:
                return
            await self.sleep(SHARE_AGAIN_S)

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
            self._take_all_marks()
        elif isinstance(command, state.RecordContentCrash):
            mark = retry.CrashRecord(command.digest, command.victim)
            self._take_mark(mark, command.lapses_wall_ms)
        elif isinstance(command, state.ClearContentCrashes):
            self._suspicion.clear_records(command.digest)

    def _take_all_marks(self) -> None:
        """Takes every mark: after a snapshot, none came as a command."""
        for content in self._shared.view.crash_records.values():
            for victim in content.victims:
                mark = retry.CrashRecord(content.digest, victim)
                self._take_mark(mark, content.lapses_wall_ms)

    def _take_mark(self, mark: retry.CrashRecord, lapses_wall_ms: int) -> None:
        left_ms = lapses_wall_ms - self._clock.wall_ms()
        self._suspicion.add_record(mark, self._clock.now_ms() + left_ms)


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


def _not_marked(
    outcome: state.Outcome, ran: results.ExecutionStatus
) -> results.LagooncrankError:
    return results.LagooncrankError(
        results.Refusal(
            outcome.code,
            "this content was present at a crash and may run only once that "
            f"is recorded, which failed: {outcome.reason}; ask again later",
            ran=ran,
            retry_after_ms=TRIAL_RETRY_AFTER_MS,
        )
    )
