"""Check that what crashes servers is not run again and again."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Final

from soak import _disturbances

#: Requests that may reach servers later.
ALLOWED: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class CrashKind:
    """What a request has that crashes the servers which run it."""

    #: How the ids of such requests begin.
    prefix: str
    #: Crashes after which the system must know it.
    known_after: int
    body: bytes = b"text"
    #: Parts of its prompt; the last one is its own.
    parts: tuple[str, ...] = ()


#: Body that crashes any engine.
CRASHING_BODY: Final = b"crash"
#: Part of a prompt that does.
CRASHING_PART: Final = "dead"
REQUEST: Final = CrashKind("crash-request", 3, body=CRASHING_BODY)
PART: Final = CrashKind("crash-part", 5, parts=(CRASHING_PART,))
KINDS: Final = (REQUEST, PART)


class Crashes:
    """Records crashes, and the requests that cause them."""

    def __init__(self) -> None:
        self._crashes_s: dict[CrashKind, list[float]] = collections.defaultdict(
            list
        )
        self._arrivals: dict[CrashKind, list[tuple[str, float]]] = (
            collections.defaultdict(list)
        )

    def record_crash(self, attempt_id: str, now_s: float) -> None:
        """Records that a request has crashed a server."""
        for kind in _kinds_of(attempt_id):
            self._crashes_s[kind].append(now_s)

    def record_arrival(self, attempt_id: str, now_s: float) -> None:
        """Records that a request has reached a server."""
        for kind in _kinds_of(attempt_id):
            self._arrivals[kind].append((attempt_id, now_s))

    def violations(
        self, is_in_touch: Callable[[str, float], bool]
    ) -> Iterator[str]:
        """Yields the kinds that reached servers long after they were known.

        Args:
            is_in_touch: Whether the entry that took a request was in touch
                when it arrived.
        """
        for kind in KINDS:
            late = [
                (a, at_s)
                for a, at_s in self._late(kind)
                if is_in_touch(a, at_s)
            ]
            if len(late) > ALLOWED:
                yield (
                    f"BUDGET: {len(late)} requests of {kind.prefix} reached "
                    f"servers after {kind.known_after} crashes: {late[:10]}"
                )

    def _late(self, kind: CrashKind) -> list[tuple[str, float]]:
        crashes_s = self._crashes_s[kind]
        if len(crashes_s) < kind.known_after:
            return []
        known_s = crashes_s[kind.known_after - 1]
        from_s = known_s + _disturbances.STABILITY_WINDOW_S
        return [(a, s) for a, s in self._arrivals[kind] if s > from_s]

    def summary(self) -> str:
        """Returns how much there was to judge."""
        return ", ".join(
            f"{len(self._crashes_s[kind])} crashes and {len(self._late(kind))} "
            f"late arrivals by {kind.prefix}"
            for kind in KINDS
        )


def _kinds_of(attempt_id: str) -> list[CrashKind]:
    return [k for k in KINDS if attempt_id.startswith(f"{k.prefix}-")]
