"""Choice of entries for a caller when more run than a response may contain."""

import collections

import pytest

from lagooncrank import model
from lagooncrank.core import fleet

#: Maximum number of entries in one response.
MAX_ENTRIES = 64
NO_DOMAIN = model.FailureDomainId("")


def entries(count: int) -> list[fleet.OpenEntry]:
    return [
        fleet.OpenEntry(
            f"10.{zone}.0.{number}:80", model.FailureDomainId(str(zone))
        )
        for zone, number in (divmod(i, 22) for i in range(count))
    ]


@pytest.mark.parametrize("count", [0, 1, 63, 64])
def test_few_entries_are_all_returned(count: int) -> None:
    found = fleet.choose_entries(
        entries(count), MAX_ENTRIES, NO_DOMAIN, draw=0.7
    )
    assert sorted(e.address for e in found) == sorted(
        e.address for e in entries(count)
    )


def test_every_entry_is_returned_equally_often() -> None:
    """Returning the first 64 left a whole failure domain without callers."""
    available = entries(86)
    counts: collections.Counter[str] = collections.Counter()
    for step in range(len(available)):
        draw = (step + 0.5) / len(available)
        found = fleet.choose_entries(available, MAX_ENTRIES, NO_DOMAIN, draw)
        assert len({e.address for e in found}) == MAX_ENTRIES
        counts.update(e.address for e in found)
    assert set(counts) == {e.address for e in available}
    assert set(counts.values()) == {MAX_ENTRIES}


@pytest.mark.parametrize(
    ("count", "domains"),
    [
        pytest.param(86, {"1"}, id="many-local-entries"),
        pytest.param(29, {"0", "1"}, id="few-local-entries"),
    ],
)
def test_callers_receive_only_local_entries_if_there_are_enough(
    count: int, domains: set[str]
) -> None:
    caller_domain = model.FailureDomainId("1")
    found = fleet.choose_entries(
        entries(count), MAX_ENTRIES, caller_domain, draw=0.2
    )
    assert {e.failure_domain for e in found} == domains
