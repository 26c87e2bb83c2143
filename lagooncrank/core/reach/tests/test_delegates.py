"""Choice of the entry that a request is delegated to."""

import random

import pytest

from lagooncrank.core import reach


def address(number: int) -> str:
    return f"10.0.{number // 256}.{number % 256}:81"


def test_without_other_entries_there_is_no_choice() -> None:
    assert reach.choose_delegate([], address(0), {}, (0.0, 0.9)) is None


@pytest.mark.parametrize("count", [2, 9, 83, 330])
def test_links_are_few_and_the_load_is_spread(count: int) -> None:
    """A third of the entries delegate; none of the others gets most of it."""
    random_ = random.Random(count)
    addresses = [address(n) for n in range(count)]
    senders = addresses[: max(count // 3, 1)]
    receivers = addresses[len(senders) :]
    received = dict.fromkeys(receivers, 0)
    for sender in senders:
        in_flight: dict[str, int] = {}
        for _ in range(20):
            draws = (random_.random(), random_.random())
            found = reach.choose_delegate(receivers, sender, in_flight, draws)
            assert found is not None
            in_flight[found] = in_flight.get(found, 0) + 1
            received[found] += 1
        assert len(in_flight) <= reach.MAX_DELEGATES
    mean = sum(received.values()) / len(receivers)
    assert max(received.values()) <= max(10 * mean, 20)


def test_entry_with_fewer_requests_in_flight_is_chosen() -> None:
    addresses = [address(1), address(2)]
    busy = {address(1): 3, address(2): 1}
    found = reach.choose_delegate(addresses, address(0), busy, (0.0, 0.9))
    assert found == address(2)
