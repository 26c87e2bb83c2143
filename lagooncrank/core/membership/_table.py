"""Table of announced backend servers, held by one entry."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.membership import _types


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    member: _types.Member
    #: Version of the table when the row was last changed.
    version: int
    #: Whether the server announced to this entry itself.
    direct: bool


class MembershipTable:
    """Implements `Membership`.

    A lease counts from when the backend server spoke, not from when the word
    arrived here, so word passed on between entries never prolongs it.

    Args:
        node_id: The entry that holds the table.
        leases: Durations in force.
    """

    def __init__(self, node_id: model.NodeId, leases: model.LeaseRules) -> None:
        self._node_id = node_id
        self._leases = leases
        self._rows: dict[model.BackendServerId, _Row] = {}
        self._version = 0
        self._told_versions: dict[model.NodeId, int] = {}

    def configure(self, leases: model.LeaseRules) -> None:
        """Takes new lease durations into use for announcements to come."""
        self._leases = leases

    def announced(
        self, announcement: model.Announcement, now_ms: int
    ) -> results.Refusal | None:
        """Takes an announcement made to this entry, or refuses it."""
        row = self._rows.get(announcement.backend_server_id)
        if row is not None:
            known = row.member.announcement
            if announcement.incarnation < known.incarnation:
                return results.Refusal(
                    results.ResultCode.OLD_INCARNATION,
                    f"backend server {announcement.backend_server_id!r} "
                    f"started again as incarnation {known.incarnation}; "
                    f"{announcement.incarnation} is over",
                )
        self._take(announcement, age_ms=0, now_ms=now_ms, direct=True)
        return None

    def merge(self, delta: _types.AnnouncementDelta, now_ms: int) -> None:
        """Takes announcements that another entry passed on."""
        for announcement, age_ms in delta.announcements:
            self._take(announcement, age_ms, now_ms, direct=False)

    def delta_for(
        self, node_id: model.NodeId, now_ms: int
    ) -> _types.AnnouncementDelta | None:
        """Returns what `node_id` was not yet told, or None."""
        told = self._told_versions.get(node_id, 0)
        self._told_versions[node_id] = self._version
        fresh = tuple(
            (row.member.announcement, now_ms - row.member.heard_ms)
            for row in self._rows.values()
            if row.direct and row.version > told
        )
        if not fresh:
            return None
        return _types.AnnouncementDelta(self._node_id, fresh)

    def forget_peer(self, node_id: model.NodeId) -> None:
        """Makes the next delta for `node_id` whole, after a broken link."""
        self._told_versions.pop(node_id, None)

    def live(self, now_ms: int) -> Sequence[_types.Member]:
        """Returns the backend servers whose lease holds, leaving or not."""
        return tuple(self._live(now_ms))

    def find(
        self, backend_server_id: model.BackendServerId, now_ms: int
    ) -> _types.Member | None:
        """Returns one backend server if its lease holds."""
        row = self._rows.get(backend_server_id)
        if row is None or row.member.lease_end_ms <= now_ms:
            return None
        return row.member

    def expire(self, now_ms: int, retention_ms: int) -> None:
        """Forgets servers whose lease ended `retention_ms` ago or earlier.

        Until then the incarnation is remembered, so that a delayed
        announcement of an earlier start is not taken for a live server.
        """
        limit_ms = now_ms - retention_ms
        rows = self._rows.items()
        gone = [k for k, r in rows if r.member.lease_end_ms <= limit_ms]
        for backend_server_id in gone:
            del self._rows[backend_server_id]

    def _live(self, now_ms: int) -> Iterator[_types.Member]:
        for row in self._rows.values():
            if row.member.lease_end_ms > now_ms:
                yield row.member

    def _take(
        self,
        announcement: model.Announcement,
        age_ms: int,
        now_ms: int,
        direct: bool,
    ) -> None:
        row = self._rows.get(announcement.backend_server_id)
        if row is not None:
            known = row.member.announcement
            if not announcement.is_newer_than(known):
                return
        spoken_ms = now_ms - max(age_ms, 0)
        member = _types.Member(
            announcement=announcement,
            heard_ms=spoken_ms,
            lease_end_ms=spoken_ms + self._leases.announcement_ms,
        )
        self._version += 1
        key = announcement.backend_server_id
        self._rows[key] = _Row(member, self._version, direct)
