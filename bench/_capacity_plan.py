"""The size to design for, and the rates of the mechanisms that stand."""

import dataclasses
from typing import Final

SECONDS_PER_DAY: Final = 86_400
#: Bytes round each peer message: tag, websocket frame, TCP and IP headers.
FRAME_BYTES: Final = 16 + 6 + 52


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Numbers of the two-year plan, then what had to be assumed."""

    nodes: int = 330
    backend_servers: int = 1_600
    instances_per_replica: int = 16
    requests_per_s: int = 12_000
    changes_per_day: int = 7_900
    # Assumed: the plan does not say.
    accounts: int = 2_000
    models: int = 20
    bookings_per_s: int = 120
    booking_kept_s: int = 86_400
    voters: int = 5

    @property
    def replicas(self) -> int:
        """Replicas when every backend server is in one."""
        return self.backend_servers // self.instances_per_replica

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration per second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def announcements_per_s(self) -> float:
        """Announcements that one node hears, two entries being told."""
        return 2 * self.backend_servers / self.nodes


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """How often the mechanisms act, per second unless said otherwise."""

    exchanges: float = 4.0
    entry_states: float = 2.0
    usage_reports: float = 2.5
    polls: float = 2.0
    heartbeats: float = 6.7
    placement_steps: float = 4.0
    limit_updates: float = 2.5
    #: Followers that one node serves at most.
    fan_out: int = 8
    #: Reports of a node on one change, to each voter.
    revision_reports: int = 5
    #: Revisions that every node keeps.
    kept_revisions: int = 200
    #: Bookings on record for one client account.
    calls_per_account: int = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What control may cost a node."""

    cpu_percent: float = 1.2
    memory_bytes: int = 32_000_000
    bytes_per_s: int = 6_000
