"""Hints on the prompt prefixes that targets have in their cache."""

from collections.abc import Sequence

#: Digests kept for all targets together, in equal parts; oldest go first.
MAX_DIGESTS = 100_000


class PrefixHints:
    """Digests of prefix blocks by target.

    Events come late and with gaps, so a hint only makes a target cheaper; a
    wrong one costs time and never an answer.
    """

    def __init__(self) -> None:
        self._digests: dict[str, dict[int, None]] = {}

    def cached(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Notes digests that entered and left a target's cache."""
        digests = self._digests.setdefault(target_id, {})
        for digest in removed:
            digests.pop(digest, None)
        digests.update(dict.fromkeys(added))
        part = MAX_DIGESTS // len(self._digests)
        while len(digests) > part:
            del digests[next(iter(digests))]

    def lost(self, target_id: str) -> None:
        """Forgets what a target has cached."""
        self._digests.pop(target_id, None)

    def cached_fraction(self, target_id: str, prefix: Sequence[int]) -> float:
        """Returns the part of a prompt's blocks that a target has cached."""
        digests = self._digests.get(target_id)
        if not digests or not prefix:
            return 0.0
        hits = 0
        for digest in prefix:
            if digest not in digests:
                break
            hits += 1
        return hits / len(prefix)
