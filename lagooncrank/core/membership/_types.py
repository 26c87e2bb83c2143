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
    last_seen_ms: int
    #: When the announcement stops counting, on the entry's own clock.
    lease_end_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgedAnnouncement:
    """An announcement that one entry passes on to another."""

    announcement: model.Announcement
    #: Time since the backend server spoke, when the delta was made.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """An announcement that repeats an earlier one but for its load."""

    #: Digest of what the announcement repeats; it names the server too.
    content_digest: bytes
    sequence: int
    load: model.LoadReport
    #: Time since the backend server spoke, when the delta was made.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalColumns:
    """Renewals as they are sent; index `i` of each column is renewal `i`."""

    #: Digests of equal length, one after another.
    content_digests: bytes = b""
    sequences: tuple[int, ...] = ()
    ages_ms: tuple[int, ...] = ()
    running: tuple[int, ...] = ()
    queued: tuple[int, ...] = ()
    kv_used_percents: tuple[int, ...] = ()
    tokens_per_s: tuple[int, ...] = ()
    load_ages_ms: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementDelta:
    """What one entry heard since it last told another."""

    node_id: model.NodeId
    #: Start of the sender; its clock has no meaning across starts.
    node_incarnation: int
    #: When the delta was made, on the sender's monotonic clock.
    sent_ms: int
    announcements: tuple[AgedAnnouncement, ...] = ()
    renewals: RenewalColumns = RenewalColumns()


class Membership(Protocol):
    """Knows the backend servers; one object serves one entry."""

    def configure(self, leases: model.LeaseRules) -> None:
        """Takes new lease durations into use."""

    def record_announcement(
        self, announcement: model.Announcement, now_ms: int
    ) -> results.Refusal | None:
        """Takes an announcement made to this entry, or refuses it."""

    def merge(self, delta: AnnouncementDelta, now_ms: int) -> bool:
        """Takes what another entry passed on.

        Returns:
            Whether every renewal repeats an announcement known here. If not,
            the sender must be asked to `reset_peer` this entry.
        """

    def delta_for(
        self, node_id: model.NodeId, now_ms: int
    ) -> AnnouncementDelta | None:
        """Returns what `node_id` was not yet told, or None."""

    def reset_peer(self, node_id: model.NodeId) -> None:
        """Makes the next delta for `node_id` tell everything."""

    def live_members(self, now_ms: int) -> Sequence[Member]:
        """Returns the backend servers whose lease holds, leaving or not."""

    def find(
        self, backend_server_id: model.BackendServerId, now_ms: int
    ) -> Member | None:
        """Returns one backend server if its lease holds."""

    def expire(self, now_ms: int, retention_ms: int) -> None:
        """Forgets servers whose lease ended `retention_ms` ago or earlier."""
