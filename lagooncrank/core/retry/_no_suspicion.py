"""Suspects nothing. The baseline."""

from collections.abc import Sequence

from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _types


@_policies.SUSPICION_POLICIES.register("none")
class NoSuspicion:
    """Lets every content run anywhere, however often it crashed targets."""

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "NoSuspicion":
        """Returns a policy object; nothing of `config` is used."""
        return cls()

    def verdict(self, digest: bytes, now_ms: int) -> _types.Verdict:
        """Returns CLEAR."""
        return _types.Verdict.CLEAR

    def record_start(self, digest: bytes, victim: str, now_ms: int) -> None:
        """Ignores what runs."""

    def record_finish(
        self, digest: bytes, victim: str, now_ms: int, completed: bool = False
    ) -> bool:
        """Ignores what finished."""
        return False

    def targets_with_suspects(
        self, digest: bytes, now_ms: int
    ) -> frozenset[str]:
        """Returns no targets."""
        return frozenset()

    def running_at(self, digest: bytes) -> str | None:
        """Returns None."""
        return None

    def record_crash(
        self, victim: str, now_ms: int
    ) -> Sequence[_types.CrashRecord]:
        """Returns no marks."""
        return ()

    def add_record(self, mark: _types.CrashRecord, lapses_ms: int) -> None:
        """Ignores shared marks."""

    def clear_records(self, digest: bytes) -> None:
        """Ignores lifted marks."""
