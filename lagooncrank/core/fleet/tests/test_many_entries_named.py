"""More entries run than an answer to a caller may name."""

import collections

import pytest

from lagooncrank import model
from lagooncrank.core import fleet

#: Entries that one answer may name.
MOST = 64
NOWHERE = model.FailureDomainId("")


def entries(count: int) -> list[fleet.OpenEntry]:
    return [
        fleet.OpenEntry(
            f"10.{zone}.0.{number}:80", model.FailureDomainId(str(zone))
        )
        for zone, number in (divmod(i, 22) for i in range(count))
    ]


@pytest.mark.parametrize("count", [0, 1, 63, 64])
def test_few_entries_are_all_named(count: int) -> None:
    found = fleet.choose_entries(entries(count), MOST, NOWHERE, draw=0.7)
    assert sorted(n.address for n in found) == sorted(
        n.address for n in entries(count)
    )


def test_every_entry_is_named_equally_often() -> None:
    """Naming the first 64 left a whole failure domain without callers."""
    running = entries(86)
    named: collections.Counter[str] = collections.Counter()
    for step in range(len(running)):
        draw = (step + 0.5) / len(running)
        found = fleet.choose_entries(running, MOST, NOWHERE, draw)
        assert len({n.address for n in found}) == MOST
        named.update(n.address for n in found)
    assert set(named) == {n.address for n in running}
    assert set(named.values()) == {MOST}


@pytest.mark.parametrize(
    ("count", "domains"),
    [
        pytest.param(86, {"1"}, id="many-near-ones-are-enough"),
        pytest.param(29, {"0", "1"}, id="few-near-ones-are-not"),
    ],
)
def test_callers_are_told_of_near_entries_if_many_run(
    count: int, domains: set[str]
) -> None:
    near = model.FailureDomainId("1")
    found = fleet.choose_entries(entries(count), MOST, near, draw=0.2)
    assert {n.failure_domain for n in found} == domains
