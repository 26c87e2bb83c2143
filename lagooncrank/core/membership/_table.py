"""Table of the backend servers known to one entry."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.membership import _delay
from lagooncrank.core.membership import _renewals
from lagooncrank.core.membership import _types


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    member: _types.Member
    #: Digest of the announcement without its sequence and load.
    content_digest: bytes
    #: Table version of the last change to the row.
    version: int
    #: Table version of the last change beyond sequence and load.
    content_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerDelay:
    node_incarnation: int
    estimator: _delay.DelayEstimator


class MembershipTable:
    """Implements `Membership`.

    A lease starts when the backend server sends its announcement, not when
    the announcement arrives here. Forwarding between entries therefore never
    prolongs a lease, however long a message is delayed.

    Args:
        node_id: The entry that holds the table.
        node_incarnation: The entry's incarnation.
        leases: Lease durations in force.
    """

    def __init__(
        self,
        node_id: model.NodeId,
        node_incarnation: int,
        leases: model.LeaseRules,
    ) -> None:
        self._node_id = node_id
        self._node_incarnation = node_incarnation
        self._leases = leases
        self._rows: dict[model.BackendServerId, _Row] = {}
        #: When each server last sent an announcement to this entry.
        self._announced_here_ms: dict[model.BackendServerId, int] = {}
        #: Servers by the digest of their announcement's content.
        self._server_ids_by_digest: dict[bytes, model.BackendServerId] = {}
        self._version = 0
        self._sent_versions: dict[model.NodeId, int] = {}
        self._peer_delays: dict[model.NodeId, _PeerDelay] = {}

    def configure(self, leases: model.LeaseRules) -> None:
        """Applies new lease durations to later announcements."""
        self._leases = leases

    def record_announcement(
        self, announcement: model.Announcement, now_ms: int
    ) -> results.Refusal | None:
        """Records an announcement sent to this entry, or refuses it."""
        row = self._rows.get(announcement.backend_server_id)
        if row is not None:
            known = row.member.announcement
            if announcement.incarnation < known.incarnation:
                return results.Refusal(
                    results.ResultCode.OLD_INCARNATION,
                    f"backend server {announcement.backend_server_id!r} "
                    f"has restarted as incarnation {known.incarnation}; "
                    f"incarnation {announcement.incarnation} is stale",
                )
        digest = _renewals.content_digest(announcement)
        self._store_if_newer(announcement, digest, 0, now_ms)
        self._announced_here_ms[announcement.backend_server_id] = now_ms
        return None

    def merge(self, delta: _types.AnnouncementDelta, now_ms: int) -> bool:
        """Merges announcements forwarded by another entry.

        Returns:
            Whether every renewal refers to an announcement known here. If not,
            the sender must be asked to call `reset_peer` for this entry.
        """
        delay_ms = self._delay_ms(delta, now_ms)
        for aged in delta.announcements:
            age_ms = aged.age_ms + delay_ms
            digest = _renewals.content_digest(aged.announcement)
            self._store_if_newer(aged.announcement, digest, age_ms, now_ms)
        renewals = _renewals.unpack(delta.renewals)
        renewed = [self._renew(r, delay_ms, now_ms) for r in renewals]
        return all(renewed)

    def delta_for(
        self, node_id: model.NodeId, now_ms: int
    ) -> _types.AnnouncementDelta | None:
        """Returns the changes not yet sent to `node_id`, or None."""
        sent_version = self._sent_versions.get(node_id, 0)
        self._sent_versions[node_id] = self._version
        announced_here = self._rows_announced_here(now_ms)
        changed = [row for row in announced_here if row.version > sent_version]
        if not changed:
            return None
        return _types.AnnouncementDelta(
            node_id=self._node_id,
            node_incarnation=self._node_incarnation,
            sent_ms=now_ms,
            announcements=tuple(
                _to_aged_announcement(row, now_ms)
                for row in changed
                if row.content_version > sent_version
            ),
            renewals=_renewals.pack(
                _to_renewal(row, now_ms)
                for row in changed
                if row.content_version <= sent_version
            ),
        )

    def reset_peer(self, node_id: model.NodeId) -> None:
        """Makes the next delta for `node_id` a full one."""
        self._sent_versions.pop(node_id, None)

    def live_members(self, now_ms: int) -> Sequence[_types.Member]:
        """Returns the backend servers with a valid lease, leaving or not."""
        return tuple(self._iterate_live(now_ms))

    def find(
        self, backend_server_id: model.BackendServerId, now_ms: int
    ) -> _types.Member | None:
        """Returns one backend server if its lease is valid."""
        row = self._rows.get(backend_server_id)
        if row is None or row.member.lease_end_ms <= now_ms:
            return None
        return row.member

    def expire(self, now_ms: int, retention_ms: int) -> None:
        """Removes servers whose lease expired at least `retention_ms` ago.

        Until then the table keeps the incarnation, so that a delayed
        announcement of an earlier one is not mistaken for a live server.
        """
        cutoff_ms = now_ms - retention_ms
        rows = self._rows.items()
        expired = [
            server_id
            for server_id, row in rows
            if row.member.lease_end_ms <= cutoff_ms
        ]
        for backend_server_id in expired:
            row = self._rows.pop(backend_server_id)
            del self._server_ids_by_digest[row.content_digest]
            self._announced_here_ms.pop(backend_server_id, None)

    def _iterate_live(self, now_ms: int) -> Iterator[_types.Member]:
        for row in self._rows.values():
            if row.member.lease_end_ms > now_ms:
                yield row.member

    def _delay_ms(self, delta: _types.AnnouncementDelta, now_ms: int) -> int:
        peer = self._peer_delays.get(delta.node_id)
        if peer is None or peer.node_incarnation != delta.node_incarnation:
            peer = _PeerDelay(delta.node_incarnation, _delay.DelayEstimator())
            self._peer_delays[delta.node_id] = peer
        return peer.estimator.delay_ms(delta.sent_ms, now_ms)

    def _renew(
        self, renewal: _types.Renewal, delay_ms: int, now_ms: int
    ) -> bool:
        server_id = self._server_ids_by_digest.get(renewal.content_digest)
        if server_id is None:
            return False
        known = self._rows[server_id].member.announcement
        announcement = known.with_changes(
            sequence=renewal.sequence, load=renewal.load
        )
        age_ms = renewal.age_ms + delay_ms
        self._store_if_newer(
            announcement, renewal.content_digest, age_ms, now_ms
        )
        return True

    def _rows_announced_here(self, now_ms: int) -> Iterator[_Row]:
        oldest_ms = now_ms - self._leases.announcement_ms
        for backend_server_id, received_ms in self._announced_here_ms.items():
            if received_ms > oldest_ms:
                yield self._rows[backend_server_id]

    def _store_if_newer(
        self,
        announcement: model.Announcement,
        digest: bytes,
        age_ms: int,
        now_ms: int,
    ) -> None:
        row = self._rows.get(announcement.backend_server_id)
        if row and not announcement.is_newer_than(row.member.announcement):
            return
        announced_ms = now_ms - max(age_ms, 0)
        member = _types.Member(
            announcement=announcement,
            last_seen_ms=announced_ms,
            lease_end_ms=announced_ms + self._leases.announcement_ms,
        )
        self._version += 1
        content_version = self._version
        if row:
            del self._server_ids_by_digest[row.content_digest]
            if row.content_digest == digest:
                content_version = row.content_version
        self._server_ids_by_digest[digest] = announcement.backend_server_id
        self._rows[announcement.backend_server_id] = _Row(
            member=member,
            content_digest=digest,
            version=self._version,
            content_version=content_version,
        )


def _to_aged_announcement(row: _Row, now_ms: int) -> _types.AgedAnnouncement:
    age_ms = now_ms - row.member.last_seen_ms
    return _types.AgedAnnouncement(row.member.announcement, age_ms)


def _to_renewal(row: _Row, now_ms: int) -> _types.Renewal:
    announcement = row.member.announcement
    return _types.Renewal(
        content_digest=row.content_digest,
        sequence=announcement.sequence,
        load=announcement.load,
        age_ms=now_ms - row.member.last_seen_ms,
    )
