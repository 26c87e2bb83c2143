"""What the router knows of the targets of one service."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import zlib

from lagooncrank.core.routing import _homes
from lagooncrank.core.routing import _load_estimate
from lagooncrank.core.routing import _outliers
from lagooncrank.core.routing import _policies
from lagooncrank.core.routing import _types

#: Targets weighed for one attempt; more are sampled by request id.
MAX_CANDIDATES = 64
#: Home targets among them.
MAX_HOMES = 48
#: Time in the batch expected before any answer ended.
FIRST_GUESS_RESIDENCE_MS = 3_200.0
#: Weight of the newest answer in the mean time in the batch.
RESIDENCE_GAIN = 0.02
#: A straggler that no lent work measured anew for this long gets owned work.
OWNED_PROBE_AFTER_MS = 30_000


class TargetState:
    """What the router knows of one target."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.load = _load_estimate.TargetLoad()
        self.speed = _outliers.TargetSpeed()


class Service:
    """What the router knows of the targets of one service."""

    def __init__(self, config: _policies.RouterConfig) -> None:
        self.states: dict[str, TargetState] = {}
        self.homes = _homes.Homes(config.node_id, config.entries)
        self.comparison = _outliers.Comparison()
        #: Mean time that an answer holds its place in a batch.
        self.residence_ms = FIRST_GUESS_RESIDENCE_MS

    def update(self, targets: Sequence[_types.Target], now_ms: int) -> None:
        """Compares speeds and assigns homes, when due."""
        speeds = (state.speed for state in self.states.values())
        self.comparison.update(speeds, now_ms)
        self.homes.update(targets, now_ms)
        if len(self.states) > 2 * len(targets):
            self._forget_gone(targets)

    def _forget_gone(self, targets: Sequence[_types.Target]) -> None:
        present = {target.target_id for target in targets}
        for target_id in self.states.keys() - present:
            if not self.states[target_id].load.own:
                del self.states[target_id]

    def at_home(
        self,
        candidates: list[tuple[_types.Target, TargetState]],
        targets: Sequence[_types.Target],
    ) -> list[tuple[_types.Target, TargetState]]:
        """Returns the candidates at home here, perhaps none.

        An entry without any home target gets all candidates.
        """
        if not self.homes.own(targets):
            return candidates
        return [
            (target, state)
            for target, state in candidates
            if self.homes.away(target.target_id) == 0
        ]

    def learn_residence(self, duration_ms: int) -> None:
        """Moves the mean time in a batch towards one answer's."""
        difference_ms = duration_ms - self.residence_ms
        self.residence_ms += RESIDENCE_GAIN * difference_ms


def sample(
    query: _types.RouteQuery,
    targets: Sequence[_types.Target],
    homes: _homes.Homes,
) -> Iterator[_types.Target]:
    """Yields the targets to weigh: all, or homes and some that vary."""
    count = len(targets)
    if count <= MAX_CANDIDATES:
        yield from targets
        return
    first = zlib.crc32(query.request_id.encode())
    own = homes.own(targets)
    for index in range(min(len(own), MAX_HOMES)):
        yield own[(first + index) % len(own)]
    others = MAX_CANDIDATES - MAX_HOMES
    for index in range(others):
        yield targets[(first + index * count // others) % count]


def due_probe(
    query: _types.RouteQuery,
    candidates: Iterable[tuple[_types.Target, TargetState]],
    now_ms: int,
) -> _types.Target | None:
    """Returns a slow target that is due to be measured anew."""
    patience_ms = 0 if query.priority > 0 else OWNED_PROBE_AFTER_MS
    for target, state in candidates:
        due_ms = state.speed.probe_due_ms + patience_ms
        if state.speed.slow and due_ms <= now_ms:
            return target
    return None


def first_to_return(
    candidates: Sequence[tuple[_types.Target, TargetState]],
) -> _types.Target | None:
    """Returns the avoided target whose pause ends first."""
    if not candidates:
        return None
    by_pause = min(candidates, key=lambda p: p[1].speed.usable_from_ms)
    return by_pause[0]
