import pytest

from lagooncrank import clock
from lagooncrank.cli import _apply

LINE = "revision 8 is in force at 1 of {} nodes; waiting for {}\n"
N2 = "n2 (has revision 7, heard 0.0 s ago)"
N3 = "n3 (never heard)"


def answer(*lagging: tuple[str, int | None]) -> dict[str, object]:
    return {
        "in_force": ["n1"],
        "lagging": [
            {"node_id": node, "revision": 7, "heard_ms_ago": age}
            for node, age in lagging
        ],
    }


def test_long_wait_is_reported_when_it_changes_and_now_and_then(
    capsys: pytest.CaptureFixture[str],
) -> None:
    time = clock.ManualClock()
    reporter = _apply.ProgressReporter(8, time)
    both = answer(("n2", 0), ("n3", None))
    steps = [
        (500, both, ""),
        (500, both, LINE.format(3, f"{N2}, {N3}")),
        (500, both, ""),
        (500, answer(("n3", None)), LINE.format(2, N3)),
        (4_900, answer(("n3", None)), ""),
        (100, answer(("n3", None)), LINE.format(2, N3)),
    ]
    for pause_ms, told, printed in steps:
        time.advance(pause_ms)
        reporter.report(told)
        assert capsys.readouterr().err == printed
