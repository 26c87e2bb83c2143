"""Signs of life of backend servers."""

import pytest

from lagooncrank.core import reach
from lagooncrank.core.dispatch import _progress
from lagooncrank.core.reach import _signs

#: A server that was heard, and one that was not.
HEARD = "s1"
UNHEARD = "s2"


# Guards against: a server that fell silent at the same moment as another one
# counts as live when a run at that one is given up.
@pytest.mark.parametrize(
    ("server_id", "passed_ms", "is_live"),
    [
        pytest.param(HEARD, 0, True, id="now"),
        pytest.param(HEARD, _signs.FRESH_MS - 1, True, id="just-now"),
        pytest.param(HEARD, _signs.FRESH_MS, False, id="long-ago"),
        pytest.param(HEARD, _progress.MAX_STEP_MS, False, id="given-up"),
        pytest.param(UNHEARD, 0, False, id="never"),
    ],
)
def test_server_is_live_for_less_than_a_silence(
    server_id: str, passed_ms: int, is_live: bool
) -> None:
    signs = reach.LifeSigns()
    signs.record(HEARD, 1_000)
    assert signs.is_live(server_id, 1_000 + passed_ms) is is_live


def test_old_signs_are_forgotten() -> None:
    signs = reach.LifeSigns()
    for number in range(_signs.MAX_SERVERS):
        signs.record(f"old{number}", 0)
    signs.record(HEARD, _signs.FRESH_MS)
    assert signs.heard_ago_ms("old0", _signs.FRESH_MS) is None
    assert signs.heard_ago_ms(HEARD, _signs.FRESH_MS + 50) == 50
