"""Passes committed entries and quorum contact on, from node to node.

A node that is no voter polls an upstream: a voter, or in a large system a
node that itself follows. Quorum contact is told as an age and counted by the
poller from the sending of its poll, so a late answer never looks fresh.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core.consensus import _messages

#: Committed entries kept for nodes that follow this one.
KEPT_ENTRIES: Final = 1_024
#: Entry bytes kept, and sent in one message.
KEPT_BYTES: Final = 1_048_576
MESSAGE_BYTES: Final = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class PollRequest:
    """Asks for committed entries and the age of quorum contact."""

    #: First entry wanted; None asks for quorum contact only.
    next_index: int | None
    #: Time on the poller's clock, echoed by the reply.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateTransfer:
    """State of the sender after one entry."""

    last_index: int
    last_term: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """Answers a `PollRequest`; also sent unasked when entries commit."""

    #: Echo of the poll; None when unasked.
    sent_ms: int | None
    #: Age of the last quorum contact; None when there was none.
    contact_age_ms: int | None
    term: int
    leader: model.NodeId | None
    #: Highest index known to be committed at that contact.
    commit_index: int
    entries: tuple[_messages.Entry, ...] = ()
    transfer: StateTransfer | None = None


@dataclasses.dataclass(slots=True)
class _Follower:
    next_index: int
    heard_ms: int


class Publisher:
    """Keeps recent committed entries and knows who follows this node."""

    def __init__(self, first_index: int, follower_timeout_ms: int) -> None:
        self._entries: collections.deque[_messages.Entry] = collections.deque()
        self._bytes = 0
        self._next_index = first_index
        self._follower_timeout_ms = follower_timeout_ms
        self._followers: dict[model.NodeId, _Follower] = {}

    def add(self, entry: _messages.Entry) -> None:
        """Takes the next committed entry."""
        self._entries.append(entry)
        self._bytes += len(entry.data)
        self._next_index = entry.index + 1
        while len(self._entries) > KEPT_ENTRIES or self._bytes > KEPT_BYTES:
            self._bytes -= len(self._entries.popleft().data)

    def reset(self, next_index: int) -> None:
        """Forgets the entries, as the state was replaced as a whole."""
        self._entries.clear()
        self._bytes = 0
        self._next_index = next_index

    def followers(self, now_ms: int) -> frozenset[model.NodeId]:
        """Returns the nodes that polled lately."""
        oldest_ms = now_ms - self._follower_timeout_ms
        return frozenset(
            n for n, f in self._followers.items() if f.heard_ms >= oldest_ms
        )

    def answer(
        self,
        node_id: model.NodeId,
        next_index: int,
        now_ms: int,
        state_bytes: Callable[[], int],
    ) -> Sequence[_messages.Entry] | None:
        """Returns what a node that follows this one lacks.

        Args:
            node_id: The node that asks.
            next_index: First entry that it lacks.
            now_ms: Time on the clock of this node.
            state_bytes: Returns the size of the state after the last entry.

        Returns:
            Kept entries from `next_index` on; None if they were dropped, or
            if the state is smaller for a node that has none yet. The caller
            then sends a `StateTransfer`.
        """
        entries = self._since(next_index)
        if next_index == 1 and self._bytes > state_bytes():
            entries = None
        if entries is None:
            next_index = self._next_index
        elif entries:
            next_index = entries[-1].index + 1
        self._followers[node_id] = _Follower(next_index, now_ms)
        return entries

    def pushes(
        self, now_ms: int
    ) -> Iterator[tuple[model.NodeId, Sequence[_messages.Entry]]]:
        """Yields the entries that each follower was not yet sent."""
        oldest_ms = now_ms - self._follower_timeout_ms
        self._followers = {
            n: f for n, f in self._followers.items() if f.heard_ms >= oldest_ms
        }
        for node_id, follower in self._followers.items():
            entries = self._since(follower.next_index)
            if entries:
                follower.next_index = entries[-1].index + 1
                yield node_id, entries

    def _since(self, next_index: int) -> Sequence[_messages.Entry] | None:
        first = self._next_index - len(self._entries)
        if next_index < first:
            return None
        chosen: list[_messages.Entry] = []
        size = 0
        for offset in range(next_index - first, len(self._entries)):
            entry = self._entries[offset]
            size += len(entry.data)
            if chosen and size > MESSAGE_BYTES:
                break
            chosen.append(entry)
        return chosen


@dataclasses.dataclass(slots=True)
class Contact:
    """Newest proof that a quorum answered the leader."""

    #: Time on the own clock; None before the first.
    contact_ms: int | None = None
    #: Every commit acknowledged before then has at most this index.
    commit_index: int = 0

    def renew(self, contact_ms: int, commit_index: int) -> None:
        """Takes a proof if it is newer."""
        if self.contact_ms is None or contact_ms > self.contact_ms:
            self.contact_ms = contact_ms
            self.commit_index = max(self.commit_index, commit_index)

    def age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the proof."""
        return None if self.contact_ms is None else now_ms - self.contact_ms


def upstream_candidates(
    voters: Sequence[model.NodeId],
    others: Sequence[model.NodeId],
    own: model.NodeId,
    fan_out: int,
) -> tuple[model.NodeId, ...]:
    """Returns the nodes that `own` may follow, preferred ones first.

    The voters are the top layer; each layer takes `fan_out` times as many
    nodes as the one above, so that no node serves many more than `fan_out`.

    >>> nodes = [model.NodeId(f"e{i}") for i in range(6)]
    >>> top = [model.NodeId("v")]
    >>> upstream_candidates(top, nodes, nodes[1], fan_out=2)
    ('v',)
    >>> upstream_candidates(top, nodes, nodes[5], fan_out=2)
    ('e1', 'e0', 'v')
    """
    above = list(voters)
    rest = [n for n in others if n not in voters]
    while own in rest:
        layer, rest = rest[: fan_out * len(above)], rest[fan_out * len(above) :]
        if own not in layer:
            above = layer
            continue
        start = layer.index(own) // fan_out
        preferred = above[start:] + above[:start]
        return tuple(dict.fromkeys((*preferred, *voters)))
    return tuple(v for v in voters if v != own)
