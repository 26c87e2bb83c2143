"""Which features are accused, by the runs that broke off."""

from collections.abc import Mapping
from collections.abc import Sequence

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank.core import crashes
from lagooncrank.core.crashes import _accusations

#: Features of one run that broke off, a letter each; a capital letter stands
#: for a whole request. The process is its index unless named.
Features = str


def lost(
    features: Features,
    number: int,
    crashed_ms: int,
    events: int = 0,
) -> _accusations.LostRun:
    names = tuple(map(feature_name, features))
    return _accusations.LostRun((f"e{number}", 1), names, events, crashed_ms)


def feature_name(letter: str) -> str:
    if letter.isupper():
        return crashes.whole_request_feature(letter)
    return letter


def accused(
    runs: Sequence[_accusations.LostRun], sound_ms: Mapping[str, int]
) -> list[str]:
    found = crashes.find_accusations(runs, sound_ms)
    return ["".join(sorted(f[-1] for f in a.features)) for a in found]


@pytest.mark.parametrize(
    ("features", "sound", "expected"),
    [
        ([], "", []),
        (["ax", "ax"], "a", []),
        (["ax", "bx", "cx"], "", ["x"]),
        (["ax", "ax", "ax"], "a", ["x"]),
        # Without sound runs the two parts cannot be told apart.
        (["ax", "ax", "ax"], "", ["ax"]),
        # A request with only one of them broke off: it is that one.
        (["ax", "ax", "ax", "bx"], "", ["x"]),
        # Ordinary crashes hit requests that have only a common part.
        (["a1", "a2", "a3", "a4"], "a", []),
        # Two causes at the same time.
        (["ax", "by", "bx", "ay", "cx", "cy"], "ab", ["y", "x"]),
        (["ax", "a1", "ax", "a2", "ax"], "a", ["x"]),
    ],
)
def test_common_feature_without_sound_runs_is_accused(
    features: list[str], sound: str, expected: list[str]
) -> None:
    runs = [lost(f, n, 1_000 * n) for n, f in enumerate(features)]
    assert accused(runs, dict.fromkeys(sound, 10_000)) == expected


# Guards against: the loss of a failure domain blames what ran in all of it.
def test_simultaneous_crashes_count_as_one() -> None:
    runs = [lost("ax", n, 1_000 + n) for n in range(10)]
    assert accused(runs, {}) == []


# Guards against: copies that crash servers at the same time count as one crash.
@pytest.mark.parametrize(
    ("features", "expected"),
    [
        (["aX", "aX", "aX"], ["X"]),
        (["aX", "aX"], []),
        (["aX", "aX", "aX", "aX", "aX", "aX", "aX"], ["X"]),
        # A server that ran no copy crashed too, so there is another cause.
        (["aX", "aX", "aX", "aY"], []),
        (["aX", "aX", "aX", "a"], []),
        # Copies of two requests, three servers each: neither explains all.
        (["aX", "aX", "aX", "aY", "aY", "aY"], []),
    ],
)
def test_simultaneous_crashes_by_copies_of_one_request(
    features: list[str], expected: list[str]
) -> None:
    runs = [lost(f, n, 1_000 + n) for n, f in enumerate(features)]
    assert accused(runs, {"a": 5_000}) == expected


def test_failure_at_another_time_does_not_hide_copies_of_one_request() -> None:
    copies = [lost("X", n, 1_000 + n) for n in range(3)]
    others = [lost("a", 10 + n, 5_000 + n) for n in range(20)]
    assert accused(copies + others, {}) == ["X"]


def test_sound_copy_shortly_before_clears_a_frequent_request() -> None:
    runs = [lost("X", n, 10_000 + n) for n in range(5)]
    assert accused(runs, {feature_name("X"): 9_000}) == []


def test_many_copies_do_not_delay_the_first_trial_run() -> None:
    runs = [lost("X", n, 1_000 + n) for n in range(9)]
    (accusation,) = crashes.find_accusations(runs, {})
    assert accusation.crashes == crashes.MIN_CRASHES


def test_repeated_reports_of_one_process_count_once() -> None:
    runs = [lost("ax", 1, 1_000 * n) for n in range(10)]
    assert accused(runs, {}) == []


def test_run_with_the_fewest_events_is_the_likely_cause() -> None:
    runs = [lost("ax", n, 1_000 * n) for n in range(3)]
    bystanders = [lost("ab", n, 1_000 * n, events=2) for n in range(3)]
    assert accused(runs + bystanders, {"a": 5_000}) == ["x"]


# Guards against: runs that have just begun hide a request that crashes servers.
def test_innocent_runs_with_fewer_events_hide_no_cause() -> None:
    runs = [lost("X", n, 1_000 * n, events=1) for n in range(3)]
    others = [lost("abcdef"[n], n, 1_000 * n) for n in range(3)]
    assert accused(runs + others, {}) == ["X"]


def test_features_of_different_runs_are_accused_one_after_the_other() -> None:
    crashing = [lost("x", n, 1_000 * n, events=1) for n in range(3)]
    bystanders = [lost("y", n, 1_000 * n) for n in range(3)]
    assert accused(crashing + bystanders, {}) == ["y"]
    # Requests with y are refused, and the crashes go on: it is x.
    crashing.append(lost("x", 3, 3_000))
    assert accused(crashing + bystanders, {}) == ["x"]


@pytest.mark.parametrize(
    ("sound_ms", "expected"),
    [(0, ["x"]), (7_000, ["x"]), (9_000, []), (20_000, [])],
)
def test_sound_run_clears_earlier_crashes_only(
    sound_ms: int, expected: list[str]
) -> None:
    runs = [lost("x", n, 10_000 + 1_000 * n) for n in range(3)]
    assert accused(runs, {"x": sound_ms}) == expected


FEATURES = "abcdxyzRS"
RUNS = strategies.lists(
    strategies.builds(
        lost,
        strategies.sets(strategies.sampled_from(FEATURES), min_size=1).map(
            lambda found: "".join(sorted(found))
        ),
        strategies.integers(0, 8),
        strategies.integers(0, 5_000),
        strategies.integers(0, 2),
    ),
    max_size=20,
)
SOUND = strategies.dictionaries(
    strategies.sampled_from(FEATURES).map(feature_name),
    strategies.integers(0, 7_000),
)


def naive_crash_times(
    feature: str,
    runs: Sequence[_accusations.LostRun],
    sound_ms: Mapping[str, int],
) -> tuple[dict[_accusations.Process, int], list[int]]:
    """Returns crashes that a feature may have caused, and times of others."""
    times = {}
    other_times = []
    for process in {r.process for r in runs}:
        of_process = [r for r in runs if r.process == process]
        crashed_ms = min(r.crashed_ms for r in of_process)
        if any(
            feature in r.features
            and sound_ms.get(feature, -10_000)
            < r.crashed_ms - _accusations.SOUND_BEFORE_CRASH_MS
            for r in of_process
        ):
            times[process] = crashed_ms
        else:
            other_times.append(crashed_ms)
    return times, other_times


def naive_crash_count(
    feature: str,
    runs: Sequence[_accusations.LostRun],
    sound_ms: Mapping[str, int],
) -> int:
    """Counts the crashes that a feature may have caused, one by one."""
    by_process, other_times = naive_crash_times(feature, runs, sound_ms)
    times = sorted(by_process.values())
    interval_ms = crashes.MIN_CRASH_INTERVAL_MS
    count = 0
    while times:
        burst = [t for t in times if t - times[0] < interval_ms]
        has_other_cause = not crashes.is_whole_request(feature) or any(
            burst[0] - interval_ms < t < burst[-1] + interval_ms
            for t in other_times
        )
        count += 1
        if not has_other_cause:
            free = max(crashes.MIN_CRASHES - count, 0)
            count += min(len(burst) - 1, free)
        times = times[len(burst) :]
    return count


@hypothesis.given(RUNS, SOUND)
def test_accusations_agree_with_a_naive_count(
    runs: list[_accusations.LostRun], sound_ms: dict[str, int]
) -> None:
    counts = {
        f: naive_crash_count(f, runs, sound_ms)
        for f in map(feature_name, FEATURES)
    }
    found = crashes.find_accusations(runs, sound_ms)
    for accusation in found:
        assert accusation.crashes >= crashes.MIN_CRASHES
        # A part that is only known from copies of one request is accused with
        # it, though it explains fewer of the crashes.
        assert accusation.crashes <= max(
            counts[feature] for feature in accusation.features
        )
        for feature in accusation.features:
            possible, _ = naive_crash_times(feature, runs, sound_ms)
            assert accusation.processes <= possible.keys()
    most = max(counts.values())
    if most >= crashes.MIN_CRASHES:
        assert found[0].crashes == most
    else:
        assert not found


@hypothesis.given(RUNS, SOUND, strategies.randoms(use_true_random=False))
def test_order_of_the_evidence_does_not_matter(
    runs: list[_accusations.LostRun],
    sound_ms: dict[str, int],
    random: strategies.DataObject,
) -> None:
    shuffled = list(runs)
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    first = crashes.find_accusations(runs, sound_ms)
    assert first == crashes.find_accusations(shuffled, sound_ms)
