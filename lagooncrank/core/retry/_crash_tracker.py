"""Identifies request contents that crash the targets they run on.

When a target crashes, a crash record is kept for every content that was
running there. A content with a crash record may run again, but never on the
same target as another suspect content, so that a second crash identifies the
culprit. A content that runs to completion is cleared; one that was running at
two crashes is refused until its records expire or an operator clears them.
"""

import collections
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _types

#: Distinct targets that may crash on one content before it is refused.
MAX_CRASHED_TARGETS = 2
#: When this many targets crash within the window, the cause is assumed to be
#: a common one, such as a failed domain, and no content is suspected.
MASS_CRASH_TARGETS = 3
MASS_CRASH_WINDOW_MS = 1_000


class _CrashHistory:
    """Targets that crashed while one content was running on them."""

    def __init__(self) -> None:
        self.crashed_targets: set[str] = set()
        self.expires_ms = 0


@_policies.SUSPICION_POLICIES.register("crash_marks")
class CrashTracker:
    """Suspects the contents that were running on a target when it crashed."""

    def __init__(self, rules: model.RetryRules) -> None:
        self._rules = rules
        self._histories: dict[bytes, _CrashHistory] = {}
        #: Contents that run on each target, with their number of runs.
        self._running: dict[str, collections.Counter[bytes]] = {}
        self._recent_crashes: collections.deque[tuple[int, str]] = (
            collections.deque()
        )

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "CrashTracker":
        """Returns a policy object with the rules of `config`."""
        return cls(config.rules)

    def verdict(self, digest: bytes, now_ms: int) -> _types.Verdict:
        """Returns whether the content may run, and with which restriction."""
        history = self._histories.get(digest)
        if history is None:
            return _types.Verdict.CLEAR
        if history.expires_ms <= now_ms:
            del self._histories[digest]
            return _types.Verdict.CLEAR
        if len(history.crashed_targets) >= MAX_CRASHED_TARGETS:
            return _types.Verdict.REFUSE
        return _types.Verdict.ISOLATE

    def targets_with_suspects(
        self, digest: bytes, now_ms: int
    ) -> frozenset[str]:
        """Returns the targets on which another suspect content is running."""
        return frozenset(
            target
            for target, contents in self._running.items()
            if any(
                other != digest
                and self.verdict(other, now_ms) is not _types.Verdict.CLEAR
                for other in contents
            )
        )

    def running_target(self, digest: bytes) -> str | None:
        """Returns a target on which this content is running already.

        Concurrent runs of one content belong on one target: if the content
        crashes its target, only that one is lost.
        """
        for target, contents in self._running.items():
            if digest in contents:
                return target
        return None

    def record_start(self, digest: bytes, target: str, now_ms: int) -> None:
        """Records that a content started to run on a target."""
        contents = self._running.setdefault(target, collections.Counter())
        contents[digest] += 1

    def record_finish(
        self, digest: bytes, target: str, now_ms: int, completed: bool = False
    ) -> bool:
        """Records that a run of a content ended without a crash.

        Args:
            digest: SHA-256 of the content.
            target: Target id and incarnation.
            now_ms: Time on the entry's clock.
            completed: Whether the run was neither cancelled nor failed.

        Returns:
            Whether this cleared the content's crash records, in which case the
            other entries must be notified.
        """
        self._remove_run(digest, target)
        history = self._histories.get(digest)
        if not completed or history is None:
            return False
        # The trial run of a suspect is recorded as a crash before it starts,
        # so the record of this target does not count.
        if len(history.crashed_targets - {target}) >= MAX_CRASHED_TARGETS:
            return False
        del self._histories[digest]
        return True

    def record_crash(
        self, target: str, now_ms: int
    ) -> Sequence[_types.CrashRecord]:
        """Records a crash against every content that ran on the target.

        No content is suspected if many targets crash at about the same time.
        """
        contents = self._running.pop(target, None)
        if not contents:
            return ()
        self._recent_crashes.append((now_ms, target))
        while self._recent_crashes[0][0] < now_ms - MASS_CRASH_WINDOW_MS:
            self._recent_crashes.popleft()
        if (
            len({crashed for _, crashed in self._recent_crashes})
            >= MASS_CRASH_TARGETS
        ):
            return ()
        records = tuple(
            _types.CrashRecord(digest, target) for digest in contents
        )
        for record in records:
            self.add_record(record, now_ms + self._rules.suspicion_ms)
        return records

    def add_record(self, record: _types.CrashRecord, expires_ms: int) -> None:
        """Adds a crash record, which may come from another entry."""
        history = self._histories.setdefault(record.digest, _CrashHistory())
        history.crashed_targets.add(record.victim)
        history.expires_ms = max(history.expires_ms, expires_ms)

    def clear_records(self, digest: bytes) -> None:
        """Removes all crash records of a content."""
        self._histories.pop(digest, None)

    def _remove_run(self, digest: bytes, target: str) -> None:
        contents = self._running.get(target)
        if contents is None:
            return
        contents[digest] -= 1
        if contents[digest] <= 0:
            del contents[digest]
        if not contents:
            del self._running[target]
