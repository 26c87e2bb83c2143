import json
import pathlib

import pytest

from soak import _left_callers


# Guards against a check that sees nothing, and one that counts what was still
# in flight, or what a server read late after a prompt entry had given it up.
@pytest.mark.parametrize(
    ("arrivals_ms", "noticed_after_ms", "violations"),
    [
        ([400] * 9, None, 0),
        ([600] * 3, None, 0),
        ([600] * 4, None, 1),
        ([400, *[2_000] * 4], None, 1),
        ([2_000] * 9, 100, 0),
        ([2_000] * 9, 501, 1),
    ],
)
def test_late_arrivals_of_left_callers_are_counted(
    arrivals_ms: list[int], noticed_after_ms: int | None, violations: int
) -> None:
    left = _left_callers.LeftCallers()
    noticed_ms = {}
    for number, arrival_ms in enumerate(arrivals_ms):
        left.record_left(f"g{number}", 10_000)
        left.record_arrival(f"g{number}", 10_000 + arrival_ms)
        if noticed_after_ms is not None:
            noticed_ms[f"g{number}"] = 10_000 + noticed_after_ms
    left.record_arrival("stays", 20_000)
    found = list(left.violations(noticed_ms, lambda _: True))
    assert len(found) == violations
    assert not list(left.violations(noticed_ms, lambda _: False))


def test_departures_are_read_from_logs(tmp_path: pathlib.Path) -> None:
    lines = [
        json.dumps({"wall_ms": 5, "event": "caller_left", "request": "g1"}),
        json.dumps(
            {"wall_ms": 6, "event": "request_answered", "request": "g2"}
        ),
        "Traceback of caller_left",
    ]
    log_file = tmp_path / "entry.log"
    log_file.write_text("\n".join(lines))
    assert _left_callers.read_departures([log_file]) == {"g1": 5}
