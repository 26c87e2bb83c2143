"""Hints about the prompt prefixes in the targets' caches."""

from collections.abc import Sequence

#: Digests retained over all targets, split equally; the oldest are evicted
#: first.
MAX_DIGESTS = 100_000


class CacheHints:
    """Digests of cached prefix blocks by target.

    Cache events arrive late and with gaps, so a hint only lowers the cost of
    a target: a wrong hint costs time and never affects the response.
    """

    def __init__(self) -> None:
        self._digests: dict[str, dict[int, None]] = {}

    def update(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Records digests added to and removed from a target's cache."""
        digests = self._digests.setdefault(target_id, {})
        for digest in removed:
            digests.pop(digest, None)
        digests.update(dict.fromkeys(added))
        limit = MAX_DIGESTS // len(self._digests)
        while len(digests) > limit:
            del digests[next(iter(digests))]

    def clear(self, target_id: str) -> None:
        """Discards all hints of a target."""
        self._digests.pop(target_id, None)

    def cached_fraction(self, target_id: str, prefix: Sequence[int]) -> float:
        """Returns the fraction of a prompt's blocks that a target has cached.

        Args:
            target_id: Id of the target.
            prefix: Digests of the prompt, shortest prefix first.
        """
        digests = self._digests.get(target_id)
        if not digests or not prefix:
            return 0.0
        hits = 0
        for digest in prefix:
            if digest not in digests:
                break
            hits += 1
        return hits / len(prefix)
