"""Account of repeats: what reached servers against what the budget paid for.

A bound on repeats rarely binds. That each repeat was paid for can be checked at
any load: from the arrivals at the servers and the decision logs of the entries.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
import pathlib
from typing import Any
from typing import Final

#: Event that tells that a request is sent once more.
SENT_AGAIN: Final = "request_sent_again"
#: Failure after which nothing had been sent; builds without the field
#: `charged` pay for a repeat after any other.
CONNECT_FAILED: Final = "connect_failed"
#: Time for which a killed process had not yet written what it had decided.
UNWRITTEN_S: Final = 0.3
#: Longest time from a decision until a silent server reads what was sent.
MAX_DELAY_S: Final = 2.5
#: Requests that a violation names.
MAX_NAMED: Final = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server."""

    attempt_id: str
    service: str
    server_id: str
    at_s: float

    def __str__(self) -> str:
        return f"{self.server_id}@{self.at_s:.2f}"


def read_charges(files: Iterable[pathlib.Path]) -> collections.Counter[str]:
    """Returns how often each request was charged, from decision logs."""
    charges: collections.Counter[str] = collections.Counter()
    for file in files:
        for line in file.read_bytes().splitlines():
            if SENT_AGAIN.encode() not in line:
                continue
            if _is_charged(fields := decode_line(line)):
                charges[fields["request"]] += 1
    return charges


def decode_line(line: bytes) -> dict[str, Any]:
    """Returns the fields of a log line; none if it is not whole."""
    try:
        fields: dict[str, Any] = json.loads(line)
    except ValueError:
        # A killed process may end in the middle of a line.
        return {}
    return fields


def _is_charged(fields: Mapping[str, Any]) -> bool:
    if fields.get("event") != SENT_AGAIN:
        return False
    is_charged: bool = fields.get(
        "charged", fields.get("failure") != CONNECT_FAILED
    )
    return is_charged


class Account:
    """All arrivals of each request, in the order in which they were read."""

    def __init__(self) -> None:
        self._arrivals: dict[str, list[Arrival]] = collections.defaultdict(list)
        #: Times at which processes were killed.
        self._kills_s: list[float] = []

    def record_arrival(self, arrival: Arrival) -> None:
        """Records a request that a server has read."""
        self._arrivals[arrival.attempt_id].append(arrival)

    def record_kill(self, now_s: float) -> None:
        """Records that a process was killed, with what it had not written."""
        self._kills_s.append(now_s)

    def unpaid(
        self, charges: Mapping[str, int]
    ) -> Iterator[tuple[Arrival, ...]]:
        """Yields the arrivals of each request with more repeats than charges.

        Args:
            charges: How often each request was charged.
        """
        for attempt_id, arrivals in self._arrivals.items():
            repeats = len(arrivals) - 1
            if repeats <= charges.get(attempt_id, 0):
                continue
            if not any(self._is_unwritten(a.at_s) for a in arrivals):
                yield tuple(arrivals)

    def _is_unwritten(self, at_s: float) -> bool:
        return any(
            at_s - MAX_DELAY_S <= kill_s <= at_s + UNWRITTEN_S
            for kill_s in self._kills_s
        )

    def violations(self, charges: Mapping[str, int]) -> Iterator[str]:
        """Yields one text for each service with repeats that nothing paid."""
        by_service: dict[str, list[tuple[Arrival, ...]]]
        by_service = collections.defaultdict(list)
        for arrivals in self.unpaid(charges):
            by_service[arrivals[-1].service].append(arrivals)
        for service, requests in by_service.items():
            named = "; ".join(
                _describe(arrivals, charges)
                for arrivals in requests[:MAX_NAMED]
            )
            yield (
                f"BUDGET: {len(requests)} requests reached servers of "
                f"{service} more often than was paid for: {named}"
            )

    def summary(self, charges: Mapping[str, int]) -> str:
        """Returns how many repeats there were, and how many charges."""
        repeats = sum(len(a) - 1 for a in self._arrivals.values())
        unpaid = sum(1 for _ in self.unpaid(charges))
        return (
            f"{repeats} repeats at servers, {sum(charges.values())} charged, "
            f"{unpaid} requests not paid for"
        )


def _describe(arrivals: tuple[Arrival, ...], charges: Mapping[str, int]) -> str:
    attempt_id = arrivals[0].attempt_id
    times = " ".join(map(str, arrivals))
    return f"{attempt_id} ({charges.get(attempt_id, 0)} charged): {times}"
