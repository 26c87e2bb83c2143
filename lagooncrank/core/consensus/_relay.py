"""Relays committed entries and quorum contact to nodes that do not vote.

Such a node polls an upstream: a voter or, in a large system, another node that
does not vote. Quorum contact is reported as an age. The poller subtracts this
age from the time at which it sent the poll, so a delayed reply never makes the
contact look newer than it is.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core.consensus import _messages

#: Maximum number of committed entries retained for followers.
MAX_RETAINED_ENTRIES: Final = 1_024
#: Maximum bytes of entry data retained for followers.
MAX_RETAINED_BYTES: Final = 1_048_576
#: Maximum bytes of entry data in one message.
MAX_MESSAGE_BYTES: Final = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class PollRequest:
    """Requests committed entries and the age of the last quorum contact."""

    #: First entry needed; None requests quorum contact only.
    next_index: int | None
    #: Time on the poller's clock, echoed by the reply.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateTransfer:
    """Encoded state of the sender after entry `last_index`."""

    last_index: int
    last_term: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """Reply to a `PollRequest`; also pushed to followers on commits."""

    #: Echo of the request; None in a push.
    sent_ms: int | None
    #: Age of the last quorum contact; None before the first and in a push.
    contact_age_ms: int | None
    term: int
    leader: model.NodeId | None
    #: Highest index that the sender knows to be committed; at least that of
    #: the last quorum contact.
    commit_index: int
    entries: tuple[_messages.Entry, ...] = ()
    transfer: StateTransfer | None = None


@dataclasses.dataclass(slots=True)
class _Follower:
    next_index: int
    last_poll_ms: int


class EntryPublisher:
    """Retains recent committed entries and sends them to followers."""

    def __init__(self, first_index: int, follower_timeout_ms: int) -> None:
        self._entries: collections.deque[_messages.Entry] = collections.deque()
        self._bytes = 0
        self._next_index = first_index
        self._follower_timeout_ms = follower_timeout_ms
        self._followers: dict[model.NodeId, _Follower] = {}

    def add(self, entry: _messages.Entry) -> None:
        """Adds the next committed entry."""
        self._entries.append(entry)
        self._bytes += len(entry.data)
        self._next_index = entry.index + 1
        while (
            len(self._entries) > MAX_RETAINED_ENTRIES
            or self._bytes > MAX_RETAINED_BYTES
        ):
            self._bytes -= len(self._entries.popleft().data)

    def reset(self, next_index: int) -> None:
        """Discards the entries after the whole state was replaced."""
        self._entries.clear()
        self._bytes = 0
        self._next_index = next_index

    def followers(self, now_ms: int) -> frozenset[model.NodeId]:
        """Returns the nodes that polled within the follower timeout."""
        oldest_ms = now_ms - self._follower_timeout_ms
        return frozenset(
            n for n, f in self._followers.items() if f.last_poll_ms >= oldest_ms
        )

    def entries_for(
        self,
        node_id: model.NodeId,
        next_index: int,
        now_ms: int,
        state_bytes: Callable[[], int],
    ) -> Sequence[_messages.Entry] | None:
        """Returns the entries that a follower lacks, and records its poll.

        Args:
            node_id: The follower.
            next_index: First entry that it lacks.
            now_ms: Time on the clock of this node.
            state_bytes: Returns the size of the state after the last entry.

        Returns:
            Entries from `next_index` on, as many as fit in a message. None if
            they are no longer retained, or if the follower has no state yet
            and the state is smaller than the entries; the caller then sends a
            `StateTransfer`.
        """
        entries = self._entries_from(next_index)
        if next_index == 1 and self._bytes > state_bytes():
            entries = None
        if entries is None:
            next_index = self._next_index
        elif entries:
            next_index = entries[-1].index + 1
        self._followers[node_id] = _Follower(next_index, now_ms)
        return entries

    def pending_pushes(
        self, now_ms: int
    ) -> Iterator[tuple[model.NodeId, Sequence[_messages.Entry]]]:
        """Yields the entries not yet sent to each follower."""
        oldest_ms = now_ms - self._follower_timeout_ms
        self._followers = {
            n: f
            for n, f in self._followers.items()
            if f.last_poll_ms >= oldest_ms
        }
        for node_id, follower in self._followers.items():
            entries = self._entries_from(follower.next_index)
            if entries:
                follower.next_index = entries[-1].index + 1
                yield node_id, entries

    def _entries_from(
        self, next_index: int
    ) -> Sequence[_messages.Entry] | None:
        first = self._next_index - len(self._entries)
        if next_index < first:
            return None
        chosen: list[_messages.Entry] = []
        size = 0
        for offset in range(next_index - first, len(self._entries)):
            entry = self._entries[offset]
            size += len(entry.data)
            if chosen and size > MAX_MESSAGE_BYTES:
                break
            chosen.append(entry)
        return chosen


@dataclasses.dataclass(slots=True)
class QuorumContact:
    """Newest known time at which a quorum was in contact with the leader."""

    #: Time on the clock of this node; None before the first contact.
    contact_ms: int | None = None
    #: Upper bound of the index of entries acknowledged as committed before
    #: `contact_ms`.
    commit_index: int = 0

    def update(self, contact_ms: int, commit_index: int) -> None:
        """Records a contact if it is newer."""
        if self.contact_ms is None or contact_ms > self.contact_ms:
            self.contact_ms = contact_ms
            self.commit_index = max(self.commit_index, commit_index)

    def age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the contact, or None before the first."""
        return None if self.contact_ms is None else now_ms - self.contact_ms


def upstream_candidates(
    voters: Sequence[model.NodeId],
    other_nodes: Sequence[model.NodeId],
    node_id: model.NodeId,
    fan_out: int,
) -> tuple[model.NodeId, ...]:
    """Returns the nodes that `node_id` may follow, in order of preference.

    The voters form the top layer. Each further layer has `fan_out` times as
    many nodes as the layer above, so no node serves many more than `fan_out`
    followers.

    >>> nodes = [model.NodeId(f"e{i}") for i in range(6)]
    >>> top = [model.NodeId("v")]
    >>> upstream_candidates(top, nodes, nodes[1], fan_out=2)
    ('v',)
    >>> upstream_candidates(top, nodes, nodes[5], fan_out=2)
    ('e1', 'e0', 'v')
    """
    upper_layer = list(voters)
    remaining = [n for n in other_nodes if n not in voters]
    while node_id in remaining:
        layer, remaining = (
            remaining[: fan_out * len(upper_layer)],
            remaining[fan_out * len(upper_layer) :],
        )
        if node_id not in layer:
            upper_layer = layer
            continue
        start = layer.index(node_id) // fan_out
        preferred = upper_layer[start:] + upper_layer[:start]
        return tuple(dict.fromkeys((*preferred, *voters)))
    return tuple(v for v in voters if v != node_id)
