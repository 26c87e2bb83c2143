"""Choice of the entry that a request is delegated to."""

import random

import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import reach

SERVICE = model.ServiceName("writers")
OWN = "10.0.0.0:80"


def entry(number: int, **fields: object) -> fleet.OpenEntry:
    values = {
        "delegation_address": f"10.0.0.{number}:81",
        "failure_domain": model.FailureDomainId("a"),
        **fields,
    }
    return fleet.OpenEntry(address=f"10.0.0.{number}:80", **values)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "unusable",
    [
        pytest.param(entry(0), id="itself"),
        pytest.param(entry(1, unreached=(SERVICE,)), id="cut-off-as-well"),
        pytest.param(entry(1, delegation_address=""), id="older-version"),
        pytest.param(entry(9), id="failed-before"),
    ],
)
def test_unusable_entry_is_not_chosen(unusable: fleet.OpenEntry) -> None:
    found = reach.choose_delegate(
        [unusable], OWN, SERVICE, {"10.0.0.9:81"}, {}, (0.0, 0.9)
    )
    assert found is None


@pytest.mark.parametrize("count", [2, 9, 83, 330])
def test_links_are_few_and_the_load_is_spread(count: int) -> None:
    """A third of the entries delegate; none of the others gets most of it."""
    random_ = random.Random(count)
    entries = [entry(n) for n in range(count)]
    cut_off = entries[: max(count // 3, 1)]
    sound = [
        e if e not in cut_off else entry(n, unreached=(SERVICE,))
        for n, e in enumerate(entries)
    ]
    received: dict[str, int] = {}
    for sender in cut_off:
        in_flight: dict[str, int] = {}
        for _ in range(20):
            found = reach.choose_delegate(
                sound,
                sender.address,
                SERVICE,
                (),
                in_flight,
                (random_.random(), random_.random()),
            )
            assert found is not None
            address = found.delegation_address
            in_flight[address] = in_flight.get(address, 0) + 1
        assert len(in_flight) <= reach.MAX_DELEGATES
        for address, requests in in_flight.items():
            received[address] = received.get(address, 0) + requests
    mean = sum(received.values()) / (count - len(cut_off))
    assert max(received.values()) <= max(10 * mean, 20)


def test_entry_with_fewer_requests_in_flight_is_chosen() -> None:
    entries = [entry(1), entry(2)]
    busy = {"10.0.0.1:81": 3, "10.0.0.2:81": 1}
    found = reach.choose_delegate(entries, OWN, SERVICE, (), busy, (0.0, 0.9))
    assert found == entries[1]
