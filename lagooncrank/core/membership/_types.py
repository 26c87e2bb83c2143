"""What membership is told and what it answers."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import results


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A backend server as one entry knows it."""

    announcement: model.Announcement
    #: When this entry heard of the announcement, on its own clock.
    heard_ms: int
    #: When the announcement stops counting, on the entry's own clock.
    lease_end_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementDelta:
    """Announcements that one entry passes on to another."""

    node_id: model.NodeId
    #: Each with its age in milliseconds when the delta was made.
    announcements: tuple[tuple[model.Announcement, int], ...]


class Membership(Protocol):
    """Knows the backend servers; one object serves one entry."""

    def configure(self, leases: model.LeaseRules) -> None:
        """Takes new lease durations into use."""

    def announced(
        self, announcement: model.Announcement, now_ms: int
    ) -> results.Refusal | None:
        """Takes an announcement made to this entry, or refuses it."""

    def merge(self, delta: AnnouncementDelta, now_ms: int) -> None:
        """Takes announcements that another entry passed on."""

    def delta_for(
        self, node_id: model.NodeId, now_ms: int
    ) -> AnnouncementDelta | None:
        """Returns what `node_id` was not yet told, or None."""

    def live(self, now_ms: int) -> Sequence[Member]:
        """Returns the backend servers whose lease holds, leaving or not."""

    def find(
        self, backend_server_id: model.BackendServerId, now_ms: int
    ) -> Member | None:
        """Returns one backend server if its lease holds."""
