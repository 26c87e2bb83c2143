"""Types and interface of membership."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import results


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A backend server as known to one entry."""

    announcement: model.Announcement
    #: When the server sent the announcement, on this entry's clock.
    last_seen_ms: int
    #: When the lease expires, on this entry's clock.
    lease_end_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgedAnnouncement:
    """An announcement that one entry forwards to another."""

    announcement: model.Announcement
    #: Age of the announcement when the delta was created.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """An announcement that differs from an earlier one only in its load."""

    #: Digest of the unchanged content, which includes the server id.
    content_digest: bytes
    sequence: int
    load: model.LoadReport
    #: Age of the announcement when the delta was created.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalColumns:
    """Renewals as sent; index `i` of each column belongs to renewal `i`."""

    #: Concatenated digests of equal length.
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
    """Announcements that an entry received since its last delta to a peer."""

    node_id: model.NodeId
    #: Incarnation of the sender; its clock is not comparable across these.
    node_incarnation: int
    #: When the delta was created, on the sender's monotonic clock.
    sent_ms: int
    announcements: tuple[AgedAnnouncement, ...] = ()
    renewals: RenewalColumns = RenewalColumns()


class Membership(Protocol):
    """Backend servers known to one entry."""

    def configure(self, leases: model.LeaseRules) -> None:
        """Applies new lease durations."""

    def record_announcement(
        self, announcement: model.Announcement, now_ms: int
    ) -> results.Refusal | None:
        """Records an announcement sent to this entry, or refuses it."""

    def merge(self, delta: AnnouncementDelta, now_ms: int) -> bool:
        """Merges announcements forwarded by another entry.

        Returns:
            Whether every renewal refers to an announcement known here. If not,
            the sender must be asked to call `reset_peer` for this entry.
        """

    def delta_for(
        self, node_id: model.NodeId, now_ms: int
    ) -> AnnouncementDelta | None:
        """Returns the changes not yet sent to `node_id`, or None."""

    def reset_peer(self, node_id: model.NodeId) -> None:
        """Makes the next delta for `node_id` a full one."""

    def live_members(self, now_ms: int) -> Sequence[Member]:
        """Returns the backend servers with a valid lease, leaving or not."""

    def find(
        self, backend_server_id: model.BackendServerId, now_ms: int
    ) -> Member | None:
        """Returns one backend server if its lease is valid."""

    def expire(self, now_ms: int, retention_ms: int) -> None:
        """Removes servers whose lease expired at least `retention_ms` ago."""
