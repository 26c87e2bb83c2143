"""Derives from evidence which features of requests crash backend servers.

One feature is assumed to be the cause of each crash. A feature of a run that
broke off is a candidate unless a run with it made progress around that time or
later. The feature that is a candidate for the most crashes is accused, together
with the features that ran with it each time, as they cannot be told apart. Only
requests with all of these features are refused: a request with some of them is
admitted, and its outcome tells them apart.

Servers that crash at the same time usually have a common cause, such as a
failed domain, so they count as one crash. Copies of one request that run at the
same time are another such cause: if each of these servers ran one, each counts.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank.core.crashes import _features

#: Crashes with a common candidate after which it is accused.
MIN_CRASHES: Final = 3
#: Crashes closer to each other have a common cause.
MIN_CRASH_INTERVAL_MS: Final = 50
#: A run that began at most this long before a crash, and made progress, clears
#: its features of the crash.
SOUND_BEFORE_CRASH_MS: Final = 2_000

#: A process of a server: its id and start time.
Process = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that broke off, with its time on this node's clock."""

    process: Process
    features: tuple[str, ...]
    events: int
    crashed_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accusation:
    """Features of which one crashes backend servers."""

    features: frozenset[str]
    #: Processes that crashed.
    processes: frozenset[Process]
    #: Crashes that count. Those of a short interval count as one, or, if copies
    #: of one request explain them, as many as an accusation requires.
    crashes: int
    newest_crash_ms: int

    def matches(self, features: Iterable[str]) -> bool:
        """Returns whether a request has all of the accused features."""
        return self.features.issubset(features)


def find_accusations(
    runs: Iterable[LostRun],
    sound_ms: Mapping[str, int],
    min_crashes: int = MIN_CRASHES,
) -> tuple[Accusation, ...]:
    """Returns the accused features.

    Args:
        runs: Runs that broke off.
        sound_ms: When the newest run with a feature began that made progress.
        min_crashes: Number of crashes that an accusation requires.
    """
    runs = tuple(_without_cleared(runs, sound_ms))
    crash_times: dict[Process, int] = {}
    candidates: dict[str, set[Process]] = {}
    for run in runs:
        known_ms = crash_times.get(run.process, run.crashed_ms)
        crash_times[run.process] = min(known_ms, run.crashed_ms)
        for feature in run.features:
            candidates.setdefault(feature, set()).add(run.process)
    accusations = []
    while candidates:
        accusation = _strongest(candidates, crash_times, runs)
        if accusation.crashes < min_crashes:
            break
        accusations.append(accusation)
        candidates = {
            feature: remaining
            for feature, processes in candidates.items()
            if (remaining := processes - accusation.processes)
        }
    return tuple(accusations)


def _without_cleared(
    runs: Iterable[LostRun], sound_ms: Mapping[str, int]
) -> Iterator[LostRun]:
    """Yields runs with only the features that may have crashed the server."""
    for run in runs:
        features = tuple(
            feature
            for feature in run.features
            if not clears(sound_ms.get(feature), run.crashed_ms)
        )
        yield dataclasses.replace(run, features=features)


def clears(began_ms: int | None, crashed_ms: int) -> bool:
    """Returns whether a sound run shows that its features crashed no server.

    Args:
        began_ms: When the run began; None if there was none.
        crashed_ms: When the server crashed.
    """
    return (
        began_ms is not None and began_ms >= crashed_ms - SOUND_BEFORE_CRASH_MS
    )


def _strongest(
    candidates: Mapping[str, set[Process]],
    crash_times: Mapping[Process, int],
    runs: Collection[LostRun],
) -> Accusation:
    """Returns the accusation that explains the most crashes.

    Of features that explain equally many, the one whose runs had the fewest
    events: a run that had just begun is the more likely cause.
    """

    def rank(feature: str) -> tuple[int, int, int, str]:
        processes = candidates[feature]
        crashes = _count_crashes(feature, processes, crash_times)
        events = sum(_fewest_events(feature, processes, runs).values())
        return crashes, len(processes), -events, feature

    feature = max(candidates, key=rank)
    processes = candidates[feature]
    return Accusation(
        _inseparable(feature, processes, runs),
        frozenset(processes),
        _count_crashes(feature, processes, crash_times),
        max(crash_times[p] for p in processes),
    )


def _fewest_events(
    feature: str, processes: Collection[Process], runs: Iterable[LostRun]
) -> dict[Process, int]:
    """Returns the events of each process's youngest run with a feature."""
    fewest: dict[Process, int] = {}
    for run in runs:
        if feature in run.features and run.process in processes:
            known = fewest.get(run.process, run.events)
            fewest[run.process] = min(known, run.events)
    return fewest


def _inseparable(
    feature: str, processes: Collection[Process], runs: Iterable[LostRun]
) -> frozenset[str]:
    """Returns the features that each process ran together with a feature."""
    together: dict[Process, set[str]] = {}
    for run in runs:
        if feature in run.features and run.process in processes:
            together.setdefault(run.process, set()).update(run.features)
    return frozenset(set.intersection(*together.values()))


def _count_crashes(
    feature: str,
    processes: Collection[Process],
    crash_times: Mapping[Process, int],
) -> int:
    count = 0
    for burst in _bursts(crash_times[p] for p in processes):
        crashes = 1
        if _features.is_whole_request(feature) and _is_explained(
            burst, processes, crash_times
        ):
            crashes = len(burst)
        # Copies that run at the same time lead to an accusation, but say
        # nothing about trial runs, so they do not delay the next one.
        count = max(count + 1, min(count + crashes, MIN_CRASHES))
    return count


def _bursts(crash_times: Iterable[int]) -> Iterator[list[int]]:
    """Groups crash times that are close to each other."""
    burst: list[int] = []
    for crashed_ms in sorted(crash_times):
        if burst and crashed_ms - burst[0] >= MIN_CRASH_INTERVAL_MS:
            yield burst
            burst = []
        burst.append(crashed_ms)
    if burst:
        yield burst


def _is_explained(
    burst: list[int],
    processes: Collection[Process],
    crash_times: Mapping[Process, int],
) -> bool:
    """Returns whether no other process crashed at the time of a burst."""
    first_ms = burst[0] - MIN_CRASH_INTERVAL_MS
    last_ms = burst[-1] + MIN_CRASH_INTERVAL_MS
    return not any(
        first_ms < crashed_ms < last_ms and process not in processes
        for process, crashed_ms in crash_times.items()
    )
