"""Suspects nothing. The baseline."""

from collections.abc import Sequence

from lagooncrank.core.retry import _policies
from lagooncrank.core.retry import _types


@_policies.SUSPICIONS.register("none")
class Unsuspecting:
    """Lets every content run anywhere, however often it crashed targets."""

    @classmethod
    def from_config(cls, config: _policies.RetryConfig) -> "Unsuspecting":
        """Returns a policy object; nothing of `config` is used."""
        return cls()

    def verdict(self, digest: bytes, now_ms: int) -> _types.Verdict:
        """Returns CLEAR."""
        return _types.Verdict.CLEAR

    def running(self, digest: bytes, victim: str, now_ms: int) -> None:
        """Ignores what runs."""

    def finished(
        self, digest: bytes, victim: str, now_ms: int, completed: bool = False
    ) -> bool:
        """Ignores what finished."""
        return False

    def occupied(self, digest: bytes, now_ms: int) -> frozenset[str]:
        """Returns no targets."""
        return frozenset()

    def running_at(self, digest: bytes) -> str | None:
        """Returns None."""
        return None

    def crashed(self, victim: str, now_ms: int) -> Sequence[_types.CrashMark]:
        """Returns no marks."""
        return ()

    def marked(self, mark: _types.CrashMark, lapses_ms: int) -> None:
        """Ignores shared marks."""

    def lifted(self, digest: bytes) -> None:
        """Ignores lifted marks."""
