"""Polling intervals, choice of the upstream node and read confirmation."""

from typing import Final

from lagooncrank import model
from lagooncrank.core.consensus import _relay

POLL_INTERVAL_MS: Final = 500
#: Interval until the first recent quorum contact; the node serves no callers
#: before.
INITIAL_POLL_INTERVAL_MS: Final = 100
#: Interval while a read is pending.
URGENT_POLL_INTERVAL_MS: Final = 50
#: An upstream that reports no recent quorum contact for this long is replaced.
UPSTREAM_TIMEOUT_MS: Final = 800
#: Quorum contact older than this does not count as recent.
STALE_CONTACT_AGE_MS: Final = 1_000
#: Time after the start in which a node looks for an upstream with recent quorum
#: contact. It is enough to try a few of them.
STALE_START_WAIT_MS: Final = 3_000
#: A follower that has not polled for this long is sent no more entries.
FOLLOWER_TIMEOUT_MS: Final = 2_000


class Poller:
    """Polls one upstream; switches to the next if it lacks quorum contact."""

    def __init__(self, upstreams: tuple[model.NodeId, ...]) -> None:
        self._upstreams = upstreams
        self._upstream_index = 0
        self._last_poll_ms: int | None = None
        self._last_fresh_contact_ms: int | None = None
        self._has_seen_quorum = False
        #: Newest term reported by an upstream, and its leader.
        self.term = 0
        self.leader: model.NodeId | None = None

    def set_upstreams(self, upstreams: tuple[model.NodeId, ...]) -> None:
        """Replaces the candidates; keeps the current upstream if included."""
        current = self.upstream
        self._upstreams = upstreams
        self._upstream_index = 0
        if current in upstreams:
            self._upstream_index = upstreams.index(current)

    @property
    def upstream(self) -> model.NodeId | None:
        """Node to poll, or None without candidates."""
        if not self._upstreams:
            return None
        return self._upstreams[self._upstream_index % len(self._upstreams)]

    def is_due(self, now_ms: int, *, urgent: bool) -> bool:
        """Whether a poll is due; if so, the caller must send it."""
        if self._last_fresh_contact_ms is None:
            self._last_fresh_contact_ms = now_ms
        if now_ms - self._last_fresh_contact_ms >= UPSTREAM_TIMEOUT_MS:
            self._upstream_index += 1
            self._last_fresh_contact_ms = now_ms
            self._last_poll_ms = None
        interval_ms = self._interval_ms(urgent=urgent)
        last_poll_ms = self._last_poll_ms
        if last_poll_ms is not None and now_ms - last_poll_ms < interval_ms:
            return False
        self._last_poll_ms = now_ms
        return True

    def _interval_ms(self, *, urgent: bool) -> int:
        if urgent:
            return URGENT_POLL_INTERVAL_MS
        return (
            POLL_INTERVAL_MS
            if self._has_seen_quorum
            else INITIAL_POLL_INTERVAL_MS
        )

    def make_due(self) -> None:
        """Makes a poll due immediately, to fetch further entries."""
        self._last_poll_ms = None

    def on_reply(
        self, sender: model.NodeId, reply: _relay.PollReply, now_ms: int
    ) -> None:
        """Records the leader and whether the upstream has quorum contact."""
        if (reply.term, reply.leader is not None) >= (
            self.term,
            self.leader is not None,
        ):
            self.term = reply.term
            self.leader = reply.leader
        age_ms = reply.contact_age_ms
        is_fresh = age_ms is not None and age_ms < STALE_CONTACT_AGE_MS
        self._has_seen_quorum |= is_fresh
        if is_fresh and sender == self.upstream:
            self._last_fresh_contact_ms = now_ms


class PendingReads:
    """Reads that wait for quorum contact newer than their start.

    Once the commit index reported with such a contact is applied, the state
    contains every commit that was acknowledged before the read started.
    """

    def __init__(self) -> None:
        #: Start time of each pending read.
        self._pending: dict[int, int] = {}

    @property
    def has_pending(self) -> bool:
        """Whether any read is pending."""
        return bool(self._pending)

    def add(self, read_id: int, now_ms: int) -> None:
        """Adds a read that starts now."""
        self._pending[read_id] = now_ms

    def cancel(self, read_id: int) -> None:
        """Cancels a read."""
        self._pending.pop(read_id, None)

    def take_confirmed(
        self, contact: _relay.QuorumContact, applied_index: int
    ) -> tuple[int, ...]:
        """Removes and returns the reads that the applied state can serve."""
        contact_ms = contact.contact_ms
        if contact_ms is None or applied_index < contact.commit_index:
            return ()
        # Strictly later: within one millisecond the order is unknown.
        confirmed = [
            read_id
            for read_id, started_ms in self._pending.items()
            if started_ms < contact_ms
        ]
        for read_id in confirmed:
            del self._pending[read_id]
        return tuple(confirmed)
