"""Which nodes run, from their own notices with leases."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Final

from lagooncrank import model

#: Open entries of a failure domain from which on its callers need no others:
#: the loss of several at once leaves them a choice.
ENOUGH_NEAR_ENTRIES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class NodeNotice:
    """What a node says of itself, renewed while it runs."""

    node_id: model.NodeId
    role: model.NodeRole
    failure_domain: model.FailureDomainId
    #: Address for callers; empty on a control node.
    address: str
    #: Whether callers may be sent to it.
    is_open: bool
    #: Wall time of its start and number of the notice; they order notices.
    incarnation: int
    sequence: int
    #: Whether it has taken any request since its start.
    has_served: bool = False
    #: Requests that it has in flight, by backend server.
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Servers whose answers stand still, as far as it sees.
    stalled: tuple[str, ...] = ()
    #: Servers whose answers go on.
    working: tuple[str, ...] = ()
    #: Age when the notice was sent, since it was first given out.
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeNotices:
    """Notices as control nodes pass them on to each other."""

    notices: tuple[NodeNotice, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenEntry:
    """An entry that callers may be sent to."""

    #: Address for callers, "ip:port".
    address: str
    failure_domain: model.FailureDomainId


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSummary:
    """What an entry needs to know of the other nodes."""

    control_nodes: tuple[model.NodeId, ...]
    open_entries: tuple[OpenEntry, ...]
    #: Requests in flight over all entries, by backend server.
    in_flight: dict[str, int]
    #: Servers whose answers stand still at some entry.
    stalled: tuple[str, ...] = ()


class NodeTable:
    """Newest notice of each node, forgotten when it is not renewed."""

    def __init__(self, lease_ms: int) -> None:
        self._lease_ms = lease_ms
        self._notices: dict[model.NodeId, tuple[NodeNotice, int]] = {}

    def put(self, notice: NodeNotice, now_ms: int) -> bool:
        """Takes a notice; whether it is newer than the one held."""
        held = self._notices.get(notice.node_id)
        if held is not None:
            order = (notice.incarnation, notice.sequence)
            if order <= (held[0].incarnation, held[0].sequence):
                return False
        self._notices[notice.node_id] = (notice, now_ms - notice.age_ms)
        return True

    def live(self, now_ms: int) -> Iterable[NodeNotice]:
        """Yields the nodes whose lease has not ended, in any order."""
        for notice, last_seen_ms in self._notices.values():
            if now_ms - last_seen_ms < self._lease_ms:
                yield notice

    def is_open(self, node_id: model.NodeId, now_ms: int) -> bool:
        """Whether callers may be sent to a node, as it said last."""
        held = self._notices.get(node_id)
        if held is None:
            return False
        notice, last_seen_ms = held
        return notice.is_open and now_ms - last_seen_ms < self._lease_ms

    def open_entries(self, now_ms: int) -> tuple[OpenEntry, ...]:
        """Returns the entries that callers may be sent to, by address."""
        found = [
            OpenEntry(n.address, n.failure_domain)
            for n in self.live(now_ms)
            if n.role is model.NodeRole.ENTRY and n.is_open
        ]
        return tuple(sorted(found, key=lambda entry: entry.address))

    def summary(
        self, now_ms: int, voters: Iterable[model.NodeId]
    ) -> FleetSummary:
        """Returns what entries need to know.

        Args:
            now_ms: Monotonic time.
            voters: Control nodes that vote; they are named though they are
                silent, as it may be this node that is cut off.
        """
        live = list(self.live(now_ms))
        control_nodes = sorted(
            n.node_id for n in live if n.role is model.NodeRole.CONTROL
        )
        in_flight: dict[str, int] = {}
        for notice in live:
            for server_id, count in notice.in_flight.items():
                in_flight[server_id] = in_flight.get(server_id, 0) + count
        return FleetSummary(
            tuple(dict.fromkeys((*control_nodes, *voters))),
            self.open_entries(now_ms),
            in_flight,
            tuple(sorted(self.stalled(now_ms))),
        )

    def stalled(self, now_ms: int) -> set[str]:
        """Returns the servers whose answers stand still at some entry."""
        return {s for n in self.live(now_ms) for s in n.stalled}

    def working(self, now_ms: int) -> set[str]:
        """Returns the servers whose answers go on at some entry."""
        return {s for n in self.live(now_ms) for s in n.working}


def choose_entries(
    entries: Sequence[OpenEntry],
    most: int,
    near: model.FailureDomainId,
    draw: float,
) -> Sequence[OpenEntry]:
    """Returns the entries that one caller is told of.

    Those of its own failure domain are enough if many of them run: they are
    near, and bytes between domains cost. Over many callers each entry is
    named equally often.

    Args:
        entries: Entries that callers may be sent to.
        most: Number of entries to name at most.
        near: Failure domain of the caller.
        draw: Random number, 0.0 to 1.0, that draws the first one.
    """
    of_domain = [n for n in entries if n.failure_domain == near]
    found = of_domain if len(of_domain) >= ENOUGH_NEAR_ENTRIES else entries
    if len(found) <= most:
        return found
    first = int(draw * len(found))
    return [*found[first:], *found[:first]][:most]
