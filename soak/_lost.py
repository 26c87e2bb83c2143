"""Checks of planned work: no request that was read ends without an answer."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Final

from soak import _disturbances

#: Time after its planned end during which a stop still counts.
MARGIN_S: Final = 1.0
#: Requests sent later than this after a stop signal have no excuse.
LATE_S: Final = 3.0
#: Beside a change, cuts count if they are this much more frequent.
CHANGE_FACTOR: Final = 3.0
#: A request that has used this fraction of its time does not count then.
USED_FRACTION: Final = 0.7
#: Requests from kept connections that may be cut at any time.
ALLOWED_KEPT: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LossRules:
    """Bounds of the deployment."""

    grace_s: float = 8.0
    loss_slack_s: float = 0.2
    config_apply_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CutRequest:
    """A request whose connection ended without a complete answer."""

    attempt_id: str
    entry: str
    #: When its last byte was sent.
    sent_s: float
    ended_s: float
    #: Time limit that its caller stated.
    limit_s: float
    #: Servers that began to run it.
    servers: tuple[str, ...] = ()
    #: Whether its connection had answered a request before.
    is_kept: bool = False
    #: Whether an answer had begun.
    has_begun: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that may be in force; acked at `inf` if never."""

    sent_s: float
    acked_s: float


class PlannedWork:
    """Records planned work and finds requests that it cut."""

    def __init__(
        self, disturbances: _disturbances.Disturbances, rules: LossRules
    ) -> None:
        self._disturbances = disturbances
        self._rules = rules
        self._stops_s: dict[str, list[float]] = collections.defaultdict(list)
        self._reloads_s: dict[str, list[float]] = collections.defaultdict(list)
        #: Starts of each entry, with the build that was started.
        self._starts: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self._builds_without_plans: set[str] = set()
        self._known_cuts = 0

    def record_start(
        self, entry: str, build: str, now_s: float, *, plans_stops: bool = True
    ) -> None:
        """Records the start of a process.

        Args:
            entry: Its node.
            build: Its build.
            now_s: Current time.
            plans_stops: Whether the build takes late in a stop only what ends
                before the cut; those before bb1747a cut such requests.
        """
        self._starts[entry].append((now_s, build))
        if not plans_stops:
            self._builds_without_plans.add(build)

    @property
    def known_cuts(self) -> int:
        """Requests that stops of builds cut that are known to do so."""
        return self._known_cuts

    def record_stop(self, entry: str, now_s: float) -> None:
        """Records a stop signal."""
        self._stops_s[entry].append(now_s)

    def record_reload(self, entry: str, now_s: float) -> None:
        """Records a signal that the settings have changed."""
        self._reloads_s[entry].append(now_s)

    def violations(
        self,
        cuts: Sequence[CutRequest],
        changes: Sequence[Change],
        end_s: float,
    ) -> Iterator[str]:
        """Yields the requests that planned work cut.

        Args:
            cuts: All requests without a complete answer.
            changes: All changes that may be in force.
            end_s: When the run ended.
        """
        counted = [c for c in cuts if self._counts(c)]
        others = []
        for cut in counted:
            if self._is_long_work_of_a_stop(cut):
                continue
            stop_s = self._stop_of(cut)
            build = self._build_at(cut.entry, cut.ended_s)
            if stop_s and build in self._builds_without_plans:
                self._known_cuts += 1
            elif stop_s:
                yield self._describe(cut, f"stop at {stop_s:.2f}")
            elif self._is_beside_reload(cut):
                yield self._describe(cut, "reload")
            else:
                others.append(cut)
        yield from self._cut_by_changes(others, changes, end_s)
        yield from self._cut_kept(others)

    def _counts(self, cut: CutRequest) -> bool:
        """Whether the request was read and nothing else may have cut it."""
        duration_s = cut.ended_s - cut.sent_s
        is_read = bool(cut.servers) or duration_s > self._rules.loss_slack_s
        is_sound = all(
            self._disturbances.is_sound(s, cut.sent_s, cut.ended_s)
            for s in cut.servers
        )
        is_calm = self._disturbances.is_free_of_accidents(
            cut.entry, cut.sent_s, cut.ended_s
        )
        return is_read and is_sound and is_calm and duration_s < cut.limit_s

    def _stops_around(self, cut: CutRequest) -> Iterator[float]:
        """Yields the stops in which a request ended."""
        for stop_s in self._stops_s[cut.entry]:
            if stop_s <= cut.ended_s <= stop_s + self._rules.grace_s + MARGIN_S:
                yield stop_s

    def _stop_of(self, cut: CutRequest) -> float | None:
        """Returns the stop that a request was cut by, if any."""
        return next(self._stops_around(cut), None)

    def _is_long_work_of_a_stop(self, cut: CutRequest) -> bool:
        """Whether a stop may cut a request, which counts nowhere then."""
        last_sixth_s = self._rules.grace_s * 5 / 6
        return bool(cut.servers) and any(
            cut.sent_s <= stop_s + LATE_S
            and cut.ended_s >= stop_s + last_sixth_s
            for stop_s in self._stops_around(cut)
        )

    def _is_beside_reload(self, cut: CutRequest) -> bool:
        return any(
            cut.ended_s >= reload_s
            and cut.sent_s <= reload_s + self._rules.config_apply_s
            for reload_s in self._reloads_s[cut.entry]
        )

    def _cut_by_changes(
        self,
        cuts: Sequence[CutRequest],
        changes: Sequence[Change],
        end_s: float,
    ) -> Iterator[str]:
        spans = _merge(
            [
                (c.sent_s, c.acked_s + self._rules.config_apply_s + MARGIN_S)
                for c in changes
            ],
            end_s,
        )
        beside_s = sum(end - start for start, end in spans)
        start_s = spans[0][0] if spans else 0.0
        other_s = max(end_s - start_s - beside_s, 0.0)
        by_entry = collections.defaultdict(list)
        for cut in cuts:
            by_entry[cut.entry].append(cut)
        for entry_cuts in by_entry.values():
            beside = [
                c
                for c in entry_cuts
                if any(a <= c.ended_s <= b for a, b in spans)
            ]
            others = len(entry_cuts) - len(beside)
            other_rate = others / other_s if other_s else 0.0
            if len(beside) <= CHANGE_FACTOR * other_rate * beside_s:
                continue
            for cut in beside:
                if cut.ended_s - cut.sent_s < USED_FRACTION * cut.limit_s:
                    yield self._describe(cut, "change")

    def _cut_kept(self, cuts: Sequence[CutRequest]) -> Iterator[str]:
        kept = [
            c
            for c in cuts
            if c.is_kept
            and c.servers
            and not c.has_begun
            and self._disturbances.is_in_touch(c.entry, c.sent_s, c.ended_s)
        ]
        if len(kept) > ALLOWED_KEPT:
            for cut in kept:
                yield self._describe(cut, "kept connection")

    def _build_at(self, entry: str, now_s: float) -> str:
        """Returns the build that an entry ran at some moment."""
        builds = [b for start_s, b in self._starts[entry] if start_s <= now_s]
        return builds[-1] if builds else "unknown"

    def _describe(self, cut: CutRequest, work: str) -> str:
        return (
            f"LOST: {cut.attempt_id} at {cut.entry} "
            f"(build {self._build_at(cut.entry, cut.ended_s)}), "
            f"sent {cut.sent_s:.2f}, cut {cut.ended_s:.2f}, "
            f"ran on {list(cut.servers)}, beside {work}"
        )


def _merge(
    spans: Sequence[tuple[float, float]], end_s: float
) -> list[tuple[float, float]]:
    """Returns disjoint spans up to `end_s`.

    >>> _merge([(1, 3), (2, 5), (7, 99)], 9)
    [(1, 5), (7, 9)]
    """
    merged: list[tuple[float, float]] = []
    for start, end in sorted(spans):
        end = min(end, end_s)
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((start, end))
    return merged
