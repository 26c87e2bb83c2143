"""Planned size of the system, rates of its mechanisms, and a node's budget."""

import dataclasses
from typing import Final

SECONDS_PER_DAY: Final = 86_400
#: Overhead of a peer message: authentication tag, websocket frame, TCP and IP
#: headers.
FRAME_BYTES: Final = 16 + 6 + 52


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of the system in the two-year plan."""

    nodes: int = 330
    backend_servers: int = 1_600
    instances_per_replica: int = 16
    requests_per_s: int = 12_000
    changes_per_day: int = 7_900
    # Assumptions: the plan has no figures for these.
    accounts: int = 2_000
    models: int = 20
    bookings_per_s: int = 120
    booking_retention_s: int = 86_400
    voters: int = 5

    @property
    def replicas(self) -> int:
        """Number of replicas when every backend server belongs to one."""
        return self.backend_servers // self.instances_per_replica

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration per second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def announcements_per_s(self) -> float:
        """Announcements that one node receives; a server announces to two."""
        return 2 * self.backend_servers / self.nodes


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Rates and limits of the mechanisms."""

    exchanges_per_s: float = 4.0
    entry_states_per_s: float = 2.0
    usage_reports_per_s: float = 2.5
    polls_per_s: float = 2.0
    heartbeats_per_s: float = 6.7
    placement_steps_per_s: float = 4.0
    limit_updates_per_s: float = 2.5
    #: Maximum number of followers of one node.
    max_followers: int = 8
    #: Reports that a node sends to each voter about one change.
    revision_reports_per_change: int = 5
    #: Revisions that every node stores.
    retained_revisions: int = 200
    #: Maximum number of stored bookings of one client account.
    max_bookings_per_account: int = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Resources of a node that the control mechanisms may use."""

    cpu_percent: float = 1.2
    memory_bytes: int = 32_000_000
    bytes_per_s: int = 6_000
