"""Decides which services an entry reaches, from its own connections.

The reports that control nodes pass on say that a server runs, not that this
entry has a path to it. Evidence of a missing path is that new connections to
several servers fail in a row. A service is then assumed to be unreached, and
probes decide: one that succeeds at once refutes the assumption, one that fails
confirms it. Only a confirmed state is published and lasts until probes succeed
again.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Final

from lagooncrank import model

#: Servers whose failures in a row make a service assumed unreached; fewer if it
#: has fewer.
MIN_FAILED_SERVERS: Final = 2
#: Failures that are further apart do not count as one row.
FAILURE_WINDOW_MS: Final = 5_000
PROBE_INTERVAL_MS: Final = 250
#: Successful probes in a row after which a confirmed service is reached again;
#: doubled for each relapse.
MIN_SUCCESSES: Final = 2
MAX_SUCCESSES: Final = 8
#: A service that is lost again within this time of its return has relapsed.
RELAPSE_MS: Final = 10_000


class ReachState(enum.Enum):
    """Whether an entry reaches a service."""

    REACHED = enum.auto()
    #: Connections fail; probes have not decided yet.
    ASSUMED_UNREACHED = enum.auto()
    CONFIRMED_UNREACHED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceChange:
    """A service was confirmed as unreached, or is reached again."""

    service: model.ServiceName
    is_reached: bool
    #: Servers whose connections failed in a row.
    failed_servers: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Service:
    state: ReachState = ReachState.REACHED
    #: Servers whose connections failed since the last success, with the time.
    failed_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Successful probes in a row.
    successes: int = 0
    #: Successful probes that are needed now.
    needed_successes: int = MIN_SUCCESSES
    probe_due_ms: int = 0
    #: When the service was last confirmed as unreached and then reached again.
    returned_ms: int | None = None


class ReachDetector:
    """State of each service, from the outcomes of connections and probes."""

    def __init__(self) -> None:
        self._services: dict[model.ServiceName, _Service] = {}
        #: Called with each confirmed change.
        self.listeners: list[Callable[[ServiceChange], None]] = []

    def is_reached(self, service: model.ServiceName) -> bool:
        """Returns whether requests may be sent to a service from here."""
        known = self._services.get(service)
        return known is None or known.state is ReachState.REACHED

    def confirmed_unreached(self) -> tuple[model.ServiceName, ...]:
        """Returns the services that this entry does not reach."""
        return tuple(
            name
            for name, service in self._services.items()
            if service.state is ReachState.CONFIRMED_UNREACHED
        )

    def record_connected(self, service: model.ServiceName, now_ms: int) -> None:
        """Records a response on a new connection to a server of a service.

        Args:
            service: The service.
            now_ms: Monotonic time in milliseconds.
        """
        known = self._services.get(service)
        if known is None:
            return
        failed = tuple(known.failed_ms)
        known.failed_ms.clear()
        if known.state is ReachState.REACHED:
            return
        known.successes += 1
        if known.state is ReachState.ASSUMED_UNREACHED:
            known.state = ReachState.REACHED
        elif known.successes >= known.needed_successes:
            known.state = ReachState.REACHED
            known.returned_ms = now_ms
            self._notify(ServiceChange(service, True, failed))

    def record_failed(
        self,
        service: model.ServiceName,
        server_id: str,
        known_servers: int,
        now_ms: int,
    ) -> None:
        """Records that a new connection to a server failed.

        Args:
            service: The service.
            server_id: The server.
            known_servers: Number of servers of the service that report.
            now_ms: Monotonic time in milliseconds.
        """
        known = self._services.setdefault(service, _Service())
        known.successes = 0
        known.failed_ms[server_id] = now_ms
        if known.state is not ReachState.REACHED:
            return
        known.failed_ms = {
            s: failed_ms
            for s, failed_ms in known.failed_ms.items()
            if now_ms - failed_ms < FAILURE_WINDOW_MS
        }
        needed = min(MIN_FAILED_SERVERS, max(known_servers, 1))
        if len(known.failed_ms) >= needed:
            self._assume(known, now_ms)

    def record_probe_failed(
        self, service: model.ServiceName, server_id: str, now_ms: int
    ) -> None:
        """Records that a probe of a server failed."""
        known = self._services.get(service)
        if known is None or known.state is ReachState.REACHED:
            return
        known.successes = 0
        known.failed_ms[server_id] = now_ms
        if known.state is ReachState.ASSUMED_UNREACHED:
            self._confirm(service, known, now_ms)

    def assume_unreached(self, service: model.ServiceName, now_ms: int) -> None:
        """Lets probes decide about a service because of other evidence."""
        known = self._services.setdefault(service, _Service())
        if known.state is ReachState.REACHED:
            self._assume(known, now_ms)

    def has_failed(self, service: model.ServiceName, server_id: str) -> bool:
        """Returns whether a server's last connection failed."""
        known = self._services.get(service)
        return known is not None and server_id in known.failed_ms

    def take_due_probes(self, now_ms: int) -> tuple[model.ServiceName, ...]:
        """Returns the services to probe now; each is due again later."""
        due = [
            (name, service)
            for name, service in self._services.items()
            if service.state is not ReachState.REACHED
            and now_ms >= service.probe_due_ms
        ]
        for _, service in due:
            service.probe_due_ms = now_ms + PROBE_INTERVAL_MS
        return tuple(name for name, _ in due)

    def _assume(self, known: _Service, now_ms: int) -> None:
        known.state = ReachState.ASSUMED_UNREACHED
        known.successes = 0
        known.probe_due_ms = now_ms

    def _confirm(
        self, service: model.ServiceName, known: _Service, now_ms: int
    ) -> None:
        known.state = ReachState.CONFIRMED_UNREACHED
        returned_ms = known.returned_ms
        if returned_ms is not None and now_ms - returned_ms < RELAPSE_MS:
            doubled = 2 * known.needed_successes
            known.needed_successes = min(doubled, MAX_SUCCESSES)
        else:
            known.needed_successes = MIN_SUCCESSES
        self._notify(ServiceChange(service, False, tuple(known.failed_ms)))

    def _notify(self, change: ServiceChange) -> None:
        for listener in self.listeners:
            listener(change)
