import pytest

from lagooncrank import clock
from lagooncrank.cli import _apply

LINE = "revision 8 is in force at 1 of {} nodes; waiting for {}\n"
N2 = "n2 (has revision 7, last seen 0.0 s ago)"
N3 = "n3 (never seen)"


def rollout_status(*lagging: tuple[str, int | None]) -> dict[str, object]:
    return {
        "in_force": ["n1"],
        "lagging": [
            {"node_id": node, "revision": 7, "heard_ms_ago": age}
            for node, age in lagging
        ],
    }


def test_long_wait_is_reported_on_change_and_at_intervals(
    capsys: pytest.CaptureFixture[str],
) -> None:
    time = clock.ManualClock()
    reporter = _apply.ProgressReporter(8, time)
    both = rollout_status(("n2", 0), ("n3", None))
    steps = [
        (500, both, ""),
        (500, both, LINE.format(3, f"{N2}, {N3}")),
        (500, both, ""),
        (500, rollout_status(("n3", None)), LINE.format(2, N3)),
        (4_900, rollout_status(("n3", None)), ""),
        (100, rollout_status(("n3", None)), LINE.format(2, N3)),
    ]
    for delay_ms, response, printed in steps:
        time.advance(delay_ms)
        reporter.report(response)
        assert capsys.readouterr().err == printed
