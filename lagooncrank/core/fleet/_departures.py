"""Processes of backend servers that have announced that they leave.

They are remembered for longer than their reports, and over restarts: no late
report may make such a process ready again.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from lagooncrank import model

#: Processes that are remembered; the oldest are forgotten beyond it.
MAX_DEPARTURES: Final = 512

_RANKS: Final = {
    model.ServerState.READY: 0,
    model.ServerState.DRAINING: 1,
    model.ServerState.GONE: 2,
}


def leaving_rank(state: model.ServerState) -> int:
    """Returns how far a process in some state has left; 0 if it stays."""
    return _RANKS[state]


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A process that leaves, or has left."""

    server_id: model.BackendServerId
    born_ms: int
    state: model.ServerState


class Departures:
    """Newest departures, without any times: a process never returns."""

    def __init__(self) -> None:
        self._departures: dict[tuple[str, int], Departure] = {}
        #: Increases with each change.
        self.version = 0

    def record(self, departure: Departure) -> None:
        """Records that a process leaves, unless it has left further."""
        key = (departure.server_id, departure.born_ms)
        known = self._departures.get(key)
        known_rank = 0 if known is None else leaving_rank(known.state)
        if leaving_rank(departure.state) <= known_rank:
            return
        self._departures[key] = departure
        self.version += 1
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def record_all(self, departures: Iterable[Departure]) -> None:
        """Records departures that were noted before a restart."""
        for departure in departures:
            self.record(departure)

    def record_report(self, report: model.ServerReport) -> None:
        """Records what a report says of its process."""
        self.record(Departure(report.server_id, report.born_ms, report.state))

    def apply(self, report: model.ServerReport) -> model.ServerReport:
        """Returns a report with the state that its process has at least."""
        known = self._departures.get(report.incarnation_id)
        if known is None:
            return report
        if leaving_rank(known.state) <= leaving_rank(report.state):
            return report
        return dataclasses.replace(report, state=known.state)

    def all(self) -> tuple[Departure, ...]:
        """Returns all departures, oldest first."""
        return tuple(self._departures.values())
