"""Shares which request contents were present when a target crashed."""

import asyncio

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import retry
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _ports

PROPOSE_TIMEOUT_MS = 5_000


def victim_of(target: routing.Target) -> str:
    """Returns the name of one start of a target."""
    return f"{target.target_id}@{target.incarnation}"


class CrashWatch(mode.Service):
    """Tells the suspicion policy of runs and crashes, and shares its marks."""

    def __init__(
        self,
        suspicion: retry.Suspicion,
        shared: _ports.SharedState,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._suspicion = suspicion
        self._shared = shared
        self._clock = clock
        self._to_share: asyncio.Queue[retry.CrashMark] = asyncio.Queue()
        shared.on_applied(self._on_applied)

    def check(self, digest: bytes) -> retry.Verdict:
        """Returns how a content may be run.

        Raises:
            LagooncrankError: The content crashed too many targets.
        """
        verdict = self._suspicion.verdict(digest, self._clock.now_ms())
        if verdict is retry.Verdict.REFUSE:
            raise results.LagooncrankError(
                results.Refusal(
                    results.ResultCode.REQUEST_QUARANTINED,
                    "requests with this content crashed backend servers; "
                    "an operator can lift the quarantine of digest "
                    f"{digest.hex()}",
                )
            )
        return verdict

    def running(self, digest: bytes, target: routing.Target) -> None:
        """Notes that a content runs at a target."""
        now_ms = self._clock.now_ms()
        self._suspicion.running(digest, victim_of(target), now_ms)

    def finished(self, digest: bytes, target: routing.Target) -> None:
        """Notes that a content left a target without a crash."""
        now_ms = self._clock.now_ms()
        self._suspicion.finished(digest, victim_of(target), now_ms)

    def target_crashed(self, target: routing.Target) -> None:
        """Takes a target's crash and shares the marks that it leaves."""
        now_ms = self._clock.now_ms()
        for mark in self._suspicion.crashed(victim_of(target), now_ms):
            self._to_share.put_nowait(mark)

    @mode.Service.task
    async def _share_marks(self) -> None:
        while not self.should_stop:
            mark = await self._to_share.get()
            wall_ms = self._clock.wall_ms()
            command = state.MarkContent(
                digest=mark.digest,
                victim=mark.victim,
                wall_ms=wall_ms,
                lapses_wall_ms=wall_ms + self._suspicion_ms(),
            )
            await self._shared.propose(command, PROPOSE_TIMEOUT_MS)

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
        elif isinstance(command, state.MarkContent):
            mark = retry.CrashMark(command.digest, command.victim)
            self._take_mark(mark, command.lapses_wall_ms)
        elif isinstance(command, state.LiftMark):
            self._suspicion.lifted(command.digest)

    def _take_all_marks(self) -> None:
        """Takes every mark: after a snapshot, none came as a command."""
        for content in self._shared.view.marks.values():
            for victim in content.victims:
                mark = retry.CrashMark(content.digest, victim)
                self._take_mark(mark, content.lapses_wall_ms)

    def _take_mark(self, mark: retry.CrashMark, lapses_wall_ms: int) -> None:
        left_ms = lapses_wall_ms - self._clock.wall_ms()
        self._suspicion.marked(mark, self._clock.now_ms() + left_ms)
