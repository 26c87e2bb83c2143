"""When a node polls, whom it follows, and which reads are confirmed."""

from typing import Final

from lagooncrank import model
from lagooncrank.core.consensus import _relay

POLL_MS: Final = 500
#: Interval until a quorum was heard of: no caller is served before.
WAITING_POLL_MS: Final = 100
#: Interval while a read waits.
URGENT_POLL_MS: Final = 50
#: An upstream without news of the quorum for this long is left.
SWITCH_MS: Final = 800
#: Contact older than this makes an upstream no better than none.
STALE_CONTACT_MS: Final = 1_000
#: A follower that did not poll for this long is sent nothing more.
FOLLOWER_TIMEOUT_MS: Final = 2_000


class Poller:
    """Chooses an upstream, and leaves it when it has no news."""

    def __init__(self, upstreams: tuple[model.NodeId, ...]) -> None:
        self._upstreams = upstreams
        self._position = 0
        self._polled_ms: int | None = None
        self._good_ms: int | None = None
        self._has_heard_of_quorum = False
        #: Newest term told by an upstream, and its leader.
        self.term = 0
        self.leader: model.NodeId | None = None

    def set_upstreams(self, upstreams: tuple[model.NodeId, ...]) -> None:
        """Takes other candidates; a present upstream among them is kept."""
        present = self.upstream
        self._upstreams = upstreams
        self._position = 0
        if present in upstreams:
            self._position = upstreams.index(present)

    @property
    def upstream(self) -> model.NodeId | None:
        """The node to poll."""
        if not self._upstreams:
            return None
        return self._upstreams[self._position % len(self._upstreams)]

    def is_due(self, now_ms: int, *, urgent: bool) -> bool:
        """Whether to poll now; the caller then must."""
        if self._good_ms is None:
            self._good_ms = now_ms
        if now_ms - self._good_ms >= SWITCH_MS:
            self._position += 1
            self._good_ms = now_ms
            self._polled_ms = None
        interval_ms = self._interval_ms(urgent=urgent)
        polled_ms = self._polled_ms
        if polled_ms is not None and now_ms - polled_ms < interval_ms:
            return False
        self._polled_ms = now_ms
        return True

    def _interval_ms(self, *, urgent: bool) -> int:
        if urgent:
            return URGENT_POLL_MS
        return POLL_MS if self._has_heard_of_quorum else WAITING_POLL_MS

    def hurry(self) -> None:
        """Makes the next poll due at once, as more entries wait."""
        self._polled_ms = None

    def on_reply(
        self, sender: model.NodeId, reply: _relay.PollReply, now_ms: int
    ) -> None:
        """Notes who leads and whether the upstream is in touch."""
        if (reply.term, reply.leader is not None) >= (
            self.term,
            self.leader is not None,
        ):
            self.term = reply.term
            self.leader = reply.leader
        age_ms = reply.contact_age_ms
        is_fresh = age_ms is not None and age_ms < STALE_CONTACT_MS
        self._has_heard_of_quorum |= is_fresh
        if is_fresh and sender == self.upstream:
            self._good_ms = now_ms


class Reads:
    """Reads that wait for newer quorum contact.

    Contact after the read began proves that no commit acknowledged before it
    is missing once the commit index told with the contact is applied.
    """

    def __init__(self) -> None:
        self._pending: dict[int, int] = {}

    @property
    def are_pending(self) -> bool:
        """Whether any read waits."""
        return bool(self._pending)

    def add(self, read_id: int, now_ms: int) -> None:
        """Takes a read that begins now."""
        self._pending[read_id] = now_ms

    def forget(self, read_id: int) -> None:
        """Drops a read."""
        self._pending.pop(read_id, None)

    def take_confirmed(
        self, contact: _relay.Contact, applied_index: int
    ) -> tuple[int, ...]:
        """Returns the reads that may be answered from the applied state."""
        contact_ms = contact.contact_ms
        if contact_ms is None or applied_index < contact.commit_index:
            return ()
        # Strictly later: within one millisecond the order is not known.
        confirmed = [r for r, at in self._pending.items() if at < contact_ms]
        for read_id in confirmed:
            del self._pending[read_id]
        return tuple(confirmed)
