"""Disturbances by the soak itself, and which nodes were in touch.

A bound on time holds only for a node that nothing disturbed shortly before.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import math
from typing import Final

#: Time after a disturbance during which nothing bounded is promised.
STABILITY_WINDOW_S: Final = 3.0


class Cause(enum.Enum):
    """Why something was disturbed."""

    #: An announced stop or start.
    PLANNED = enum.auto()
    #: Anything else.
    ACCIDENT = enum.auto()


ANY_CAUSE: Final = tuple(Cause)


@dataclasses.dataclass(slots=True)
class Span:
    """One disturbance of one node or backend server."""

    owner: str
    cause: Cause
    start_s: float
    #: Infinite while it lasts.
    end_s: float = math.inf


class Disturbances:
    """Records disturbances; tells who was in touch.

    Args:
        core: Ids of the control nodes.
        window_s: Time that a disturbance counts after its end.
    """

    def __init__(
        self, core: Sequence[str], window_s: float = STABILITY_WINDOW_S
    ) -> None:
        self._core = frozenset(core)
        self._window_s = window_s
        self._spans: dict[str, list[Span]] = {}

    def begin(self, owner: str, cause: Cause, now_s: float) -> Span:
        """Records the start of a disturbance, which its `end_s` ends."""
        span = Span(owner, cause, now_s)
        self._spans.setdefault(owner, []).append(span)
        return span

    def add(self, owner: str, cause: Cause, now_s: float) -> None:
        """Records a disturbance of no duration."""
        self.begin(owner, cause, now_s).end_s = now_s

    def is_in_touch(self, node: str, from_s: float, to_s: float) -> bool:
        """Whether neither a node nor the core was disturbed in any way."""
        return not self._overlaps(self._core | {node}, from_s, to_s, ANY_CAUSE)

    def is_free_of_accidents(
        self, node: str, from_s: float, to_s: float
    ) -> bool:
        """Whether a node and the core had at most planned stops."""
        causes = (Cause.ACCIDENT,)
        return not self._overlaps(self._core | {node}, from_s, to_s, causes)

    def is_sound(self, owner: str, from_s: float, to_s: float) -> bool:
        """Whether one node or backend server itself was not disturbed."""
        return not self._overlaps((owner,), from_s, to_s, ANY_CAUSE)

    def _overlaps(
        self,
        owners: Iterable[str],
        from_s: float,
        to_s: float,
        causes: Sequence[Cause],
    ) -> bool:
        return any(
            span.cause in causes
            and span.start_s <= to_s
            and span.end_s >= from_s - self._window_s
            for owner in owners
            for span in self._spans.get(owner, ())
        )


class Watch:
    """Records the disturbances of one owner.

    Args:
        log: Where they are recorded.
        owner: Node or backend server.
        now_s: Clock.
    """

    def __init__(
        self, log: Disturbances, owner: str, now_s: Callable[[], float]
    ) -> None:
        self._log = log
        self._owner = owner
        self._now_s = now_s
        self._open: dict[str, Span] = {}

    def begin(self, name: str, cause: Cause = Cause.ACCIDENT) -> None:
        """Records the start of a disturbance unless it lasts already."""
        if name not in self._open:
            self._open[name] = self._log.begin(
                self._owner, cause, self._now_s()
            )

    def end(self, *names: str) -> None:
        """Records the end of those disturbances that last."""
        for name in names:
            if span := self._open.pop(name, None):
                span.end_s = self._now_s()

    def add(self, cause: Cause = Cause.ACCIDENT) -> None:
        """Records a disturbance of no duration."""
        self._log.add(self._owner, cause, self._now_s())
