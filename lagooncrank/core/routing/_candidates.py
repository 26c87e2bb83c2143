"""Per-service routing state, and the selection of candidate targets."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import zlib

from lagooncrank.core.routing import _homes
from lagooncrank.core.routing import _load_estimate
from lagooncrank.core.routing import _outliers
from lagooncrank.core.routing import _policies
from lagooncrank.core.routing import _types

#: Maximum number of targets compared per attempt; if a service has more, they
#: are sampled by request id.
MAX_CANDIDATES = 64
#: Maximum number of home targets among the candidates.
MAX_HOME_CANDIDATES = 48
#: Assumed residence time in a batch before the first response is complete.
INITIAL_RESIDENCE_MS = 3_200.0
#: Weight of the newest response in the mean residence time.
RESIDENCE_GAIN = 0.02
#: Additional delay before a straggler is probed by an ordinary request. A
#: request on borrowed capacity probes it without this delay.
ORDINARY_PROBE_DELAY_MS = 30_000


class TargetState:
    """Load and health of one incarnation of a target."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.load = _load_estimate.TargetLoad()
        self.health = _outliers.TargetHealth()


class ServiceState:
    """State of the targets of one service, as one entry sees it."""

    def __init__(self, config: _policies.RouterConfig) -> None:
        self.targets: dict[str, TargetState] = {}
        self.homes = _homes.HomeAssignment(config.node_id, config.entries)
        self.straggler_detector = _outliers.StragglerDetector()
        #: Mean time that a request occupies a slot of a batch.
        self.residence_ms = INITIAL_RESIDENCE_MS

    def update(self, targets: Sequence[_types.Target], now_ms: int) -> None:
        """Detects stragglers and assigns home entries, each if due."""
        healths = (state.health for state in self.targets.values())
        self.straggler_detector.update(healths, now_ms)
        self.homes.update(targets, now_ms)
        if len(self.targets) > 2 * len(targets):
            self._evict_absent(targets)

    def _evict_absent(self, targets: Sequence[_types.Target]) -> None:
        present = {target.target_id for target in targets}
        for target_id in self.targets.keys() - present:
            if not self.targets[target_id].load.own:
                del self.targets[target_id]

    def filter_home(
        self,
        candidates: list[tuple[_types.Target, TargetState]],
        targets: Sequence[_types.Target],
    ) -> list[tuple[_types.Target, TargetState]]:
        """Returns the candidates whose home is this entry, possibly none.

        If this entry is the home of no target at all, all candidates are
        returned.
        """
        if not self.homes.own(targets):
            return candidates
        return [
            (target, state)
            for target, state in candidates
            if self.homes.remoteness(target.target_id) == 0
        ]

    def record_residence(self, duration_ms: int) -> None:
        """Adds one response's duration to the mean residence time."""
        difference_ms = duration_ms - self.residence_ms
        self.residence_ms += RESIDENCE_GAIN * difference_ms


def sample(
    query: _types.RouteQuery,
    targets: Sequence[_types.Target],
    homes: _homes.HomeAssignment,
) -> Iterator[_types.Target]:
    """Yields the candidates of one attempt.

    These are all targets if they are few, otherwise home targets of this
    entry and some others, which vary with the request id.
    """
    count = len(targets)
    if count <= MAX_CANDIDATES:
        yield from targets
        return
    first = zlib.crc32(query.request_id.encode())
    own = homes.own(targets)
    for index in range(min(len(own), MAX_HOME_CANDIDATES)):
        yield own[(first + index) % len(own)]
    others = MAX_CANDIDATES - MAX_HOME_CANDIDATES
    for index in range(others):
        yield targets[(first + index * count // others) % count]


def due_probe(
    query: _types.RouteQuery,
    candidates: Iterable[tuple[_types.Target, TargetState]],
    now_ms: int,
) -> _types.Target | None:
    """Returns a straggler that this attempt has to probe, if there is one."""
    delay_ms = 0 if query.priority > 0 else ORDINARY_PROBE_DELAY_MS
    for target, state in candidates:
        due_ms = state.health.probe_due_ms + delay_ms
        if state.health.is_straggler and due_ms <= now_ms:
            return target
    return None


def first_usable(
    candidates: Sequence[tuple[_types.Target, TargetState]],
) -> _types.Target | None:
    """Returns the candidate whose pause ends first, or None without any."""
    if not candidates:
        return None
    by_pause = min(candidates, key=lambda p: p[1].health.usable_from_ms)
    return by_pause[0]
