"""Finds the content that crashes targets among those that were present.

Every content that ran at a crashed target gets a mark. A marked content runs
again, but with no other marked content at the same target, so that a second
crash tells which one did it. A content that completes alone is cleared; one
that met two crashes is refused until its marks lapse or are lifted.
"""

import collections
from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _types

#: Targets that one content may take down.
MAX_CRASHED_TARGETS = 2
#: This many crashes within the window have a common cause elsewhere.
MASS_LOSS_VICTIMS = 3
MASS_LOSS_WINDOW_MS = 1_000


class _Marks:
    """Crashes counted against one content."""

    def __init__(self) -> None:
        self.victims: set[str] = set()
        self.lapses_ms = 0


@_policies.SUSPICION_POLICIES.register("crash_marks")
class CrashTracker:
    """Marks the contents that were present at crashes."""

    def __init__(self, rules: model.RetryRules) -> None:
        self._rules = rules
        self._marks: dict[bytes, _Marks] = {}
        self._present: dict[str, collections.Counter[bytes]] = {}
        self._crashes: collections.deque[tuple[int, str]] = collections.deque()

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "CrashTracker":
        """Returns a policy object with the rules of `config`."""
        return cls(config.rules)

    def verdict(self, digest: bytes, now_ms: int) -> _types.Verdict:
        """Returns how the content may be run."""
        marks = self._marks.get(digest)
        if marks is None:
            return _types.Verdict.CLEAR
        if marks.lapses_ms <= now_ms:
            del self._marks[digest]
            return _types.Verdict.CLEAR
        if len(marks.victims) >= MAX_CRASHED_TARGETS:
            return _types.Verdict.REFUSE
        return _types.Verdict.ISOLATE

    def targets_with_suspects(
        self, digest: bytes, now_ms: int
    ) -> frozenset[str]:
        """Returns the victims-to-be at which another marked content runs."""
        return frozenset(
            victim
            for victim, present in self._present.items()
            if any(
                other != digest
                and self.verdict(other, now_ms) is not _types.Verdict.CLEAR
                for other in present
            )
        )

    def running_at(self, digest: bytes) -> str | None:
        """Returns a target at which this content runs already.

        Copies that run at the same time belong together: if the content
        crashes its target, it takes down one and not several.
        """
        for victim, present in self._present.items():
            if digest in present:
                return victim
        return None

    def record_start(self, digest: bytes, victim: str, now_ms: int) -> None:
        """Notes that a content runs at a target."""
        present = self._present.setdefault(victim, collections.Counter())
        present[digest] += 1

    def record_finish(
        self, digest: bytes, victim: str, now_ms: int, completed: bool = False
    ) -> bool:
        """Notes that a content left a target without a crash.

        Returns:
            Whether its mark is cleared by that, for the others to know.
        """
        self._leave(digest, victim)
        marks = self._marks.get(digest)
        if not completed or marks is None:
            return False
        # A trial is marked before it runs, so its own mark does not count.
        if len(marks.victims - {victim}) >= MAX_CRASHED_TARGETS:
            return False
        del self._marks[digest]
        return True

    def record_crash(
        self, victim: str, now_ms: int
    ) -> Sequence[_types.CrashRecord]:
        """Marks what ran at a target, unless many targets go down at once."""
        present = self._present.pop(victim, None)
        if not present:
            return ()
        self._crashes.append((now_ms, victim))
        while self._crashes[0][0] < now_ms - MASS_LOSS_WINDOW_MS:
            self._crashes.popleft()
        if len({name for _, name in self._crashes}) >= MASS_LOSS_VICTIMS:
            return ()
        marks = tuple(_types.CrashRecord(digest, victim) for digest in present)
        for mark in marks:
            self.add_record(mark, now_ms + self._rules.suspicion_ms)
        return marks

    def add_record(self, mark: _types.CrashRecord, lapses_ms: int) -> None:
        """Takes a shared mark, on the entry's clock."""
        marks = self._marks.setdefault(mark.digest, _Marks())
        marks.victims.add(mark.victim)
        marks.lapses_ms = max(marks.lapses_ms, lapses_ms)

    def clear_records(self, digest: bytes) -> None:
        """Forgets the marks of a content."""
        self._marks.pop(digest, None)

    def _leave(self, digest: bytes, victim: str) -> None:
        present = self._present.get(victim)
        if present is None:
            return
        present[digest] -= 1
        if present[digest] <= 0:
            del present[digest]
        if not present:
            del self._present[victim]
