"""Suspicion policy that never suspects a content; the baseline."""

from collections.abc import Sequence

from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _types


@_policies.SUSPICION_POLICIES.register("none")
class NoSuspicion:
    """Allows every content to run on any target, whatever crashed before."""

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "NoSuspicion":
        """Returns a policy object; `config` is not used."""
        return cls()

    def verdict(self, digest: bytes, now_ms: int) -> _types.Verdict:
        """Returns CLEAR."""
        return _types.Verdict.CLEAR

    def record_start(self, digest: bytes, target: str, now_ms: int) -> None:
        """Ignores the run."""

    def record_finish(
        self, digest: bytes, target: str, now_ms: int, completed: bool = False
    ) -> bool:
        """Returns False, as there are no crash records to clear."""
        return False

    def targets_with_suspects(
        self, digest: bytes, now_ms: int
    ) -> frozenset[str]:
        """Returns an empty set."""
        return frozenset()

    def running_target(self, digest: bytes) -> str | None:
        """Returns None."""
        return None

    def record_crash(
        self, target: str, now_ms: int
    ) -> Sequence[_types.CrashRecord]:
        """Returns no crash records."""
        return ()

    def add_record(self, record: _types.CrashRecord, expires_ms: int) -> None:
        """Ignores the crash record."""

    def clear_records(self, digest: bytes) -> None:
        """Does nothing, as there are no crash records."""
