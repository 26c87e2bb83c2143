"""Live nodes, derived from the notices that they send and renew."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Final

from lagooncrank import model

#: Number of open entries in a failure domain that is enough for the callers of
#: that domain: if several fail at the same time, others are left.
ENOUGH_LOCAL_ENTRIES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class NodeNotice:
    """State of a node, which the node sends repeatedly while it runs.

    It serves as a heartbeat: a node without a recent notice counts as stopped.
    """

    node_id: model.NodeId
    role: model.NodeRole
    failure_domain: model.FailureDomainId
    #: Address for callers; empty for a control node.
    address: str
    #: Whether the node accepts new requests of callers.
    is_open: bool
    #: Wall-clock time of the node's start, and number of the notice since then.
    #: Together they order the notices.
    incarnation: int
    sequence: int
    #: Whether the node has received any request since its start.
    has_served: bool = False
    #: The node's requests in flight, by backend server.
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Servers all of whose response streams have stalled at this node.
    stalled: tuple[str, ...] = ()
    #: Servers that sent events on response streams recently.
    working: tuple[str, ...] = ()
    #: Servers at which a request has just timed out before its first event.
    suspected: tuple[str, ...] = ()
    #: Services that the node has no path to.
    unreached: tuple[model.ServiceName, ...] = ()
    #: Whether the node has a path to no service at all.
    is_cut_off: bool = False
    #: Time since the node issued the notice, when it was passed on.
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeNotices:
    """Batch of notices, as nodes send them and control nodes pass them on."""

    notices: tuple[NodeNotice, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenEntry:
    """An entry that accepts new requests of callers."""

    #: Address for callers, "ip:port".
    address: str
    failure_domain: model.FailureDomainId

    @property
    def ip(self) -> str:
        """IP address of the entry."""
        return self.address.rpartition(":")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSummary:
    """Summary of all nodes that control nodes send to their followers."""

    control_nodes: tuple[model.NodeId, ...]
    open_entries: tuple[OpenEntry, ...]
    #: Requests in flight over all entries, by backend server.
    in_flight: dict[str, int]
    #: Servers whose response streams have stalled at any entry.
    stalled: tuple[str, ...] = ()
    #: Services that an entry has no path to, by its address for callers. Most
    #: of the time there are none: the summary goes to every entry often.
    unreached: dict[str, tuple[model.ServiceName, ...]] = dataclasses.field(
        default_factory=dict
    )
    #: Addresses of entries that have a path to no service at all.
    cut_off: tuple[str, ...] = ()
    #: Number of entries that share what the system may use, as the sender
    #: remembers it; 0 if it does not know it.
    sharing_entries: int = 0


class NodeTable:
    """Newest notice of each node; each is valid for the time of a lease.

    All times are observed time of this node: while it stands still it receives
    no notices.
    """

    def __init__(self, lease_ms: int) -> None:
        self._lease_ms = lease_ms
        self._notices: dict[model.NodeId, tuple[NodeNotice, int]] = {}

    def put(self, notice: NodeNotice, now_ms: int) -> bool:
        """Stores a notice; returns whether it is newer than the stored one."""
        stored = self._notices.get(notice.node_id)
        if stored is not None and self._is_outdated(notice, *stored, now_ms):
            return False
        self._notices[notice.node_id] = (notice, now_ms - notice.age_ms)
        return True

    def _is_outdated(
        self,
        notice: NodeNotice,
        stored: NodeNotice,
        stored_issued_ms: int,
        now_ms: int,
    ) -> bool:
        """Returns whether a notice is older than the stored one.

        Incarnations are wall-clock times. A node whose clock was set back
        before it started again is recognized once the stored lease has expired.
        """
        if notice.incarnation < stored.incarnation:
            return now_ms - stored_issued_ms < self._lease_ms
        order = (notice.incarnation, notice.sequence)
        return order <= (stored.incarnation, stored.sequence)

    def live(self, now_ms: int) -> Iterable[NodeNotice]:
        """Yields the notices whose lease is valid, in any order."""
        for notice, issued_ms in self._notices.values():
            if now_ms - issued_ms < self._lease_ms:
                yield notice

    def is_open(self, node_id: model.NodeId, now_ms: int) -> bool:
        """Returns whether a node accepts new requests by its newest notice."""
        stored = self._notices.get(node_id)
        if stored is None:
            return False
        notice, issued_ms = stored
        return notice.is_open and now_ms - issued_ms < self._lease_ms

    def open_entries(self, now_ms: int) -> tuple[OpenEntry, ...]:
        """Returns the entries that accept new requests, ordered by address."""
        found = [
            OpenEntry(n.address, n.failure_domain)
            for n in self.live(now_ms)
            if n.role is model.NodeRole.ENTRY and n.is_open
        ]
        return tuple(sorted(found, key=lambda entry: entry.address))

    def summary(
        self, now_ms: int, voters: Iterable[model.NodeId]
    ) -> FleetSummary:
        """Returns the summary for the followers of this node.

        Args:
            now_ms: Monotonic time in milliseconds.
            voters: Voting control nodes. They are included even without a
                recent notice, as it may be this node that is partitioned.
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
            {n.address: n.unreached for n in live if n.unreached},
            self.cut_off(now_ms),
        )

    def cut_off(self, now_ms: int) -> tuple[str, ...]:
        """Returns the addresses of entries without a path to any service."""
        return tuple(n.address for n in self.live(now_ms) if n.is_cut_off)

    def stalled(self, now_ms: int) -> set[str]:
        """Returns the servers whose streams have stalled at any entry."""
        return {s for n in self.live(now_ms) for s in n.stalled}

    def suspected(self, now_ms: int) -> set[str]:
        """Returns the servers at which requests have just timed out."""
        return {s for n in self.live(now_ms) for s in n.suspected}

    def working(self, now_ms: int) -> set[str]:
        """Returns the servers that sent events to any entry recently."""
        return {s for n in self.live(now_ms) for s in n.working}


def without_cut_off(
    entries: Sequence[OpenEntry], cut_off: Collection[str]
) -> Sequence[OpenEntry]:
    """Returns the entries with a path to any service, or all if none has."""
    return [e for e in entries if e.address not in cut_off] or entries


def choose_entries(
    entries: Sequence[OpenEntry],
    max_entries: int,
    caller_domain: model.FailureDomainId,
    draw: float,
) -> Sequence[OpenEntry]:
    """Returns the entries to report to one caller.

    If the caller's failure domain has enough entries, only these are returned,
    as they are close and traffic between domains is paid for. Over many
    callers each entry is returned equally often.

    Args:
        entries: Entries that accept new requests.
        max_entries: Maximum number of entries to return.
        caller_domain: Failure domain of the caller.
        draw: Random number, 0.0 to 1.0, that selects the first entry.
    """
    local = [e for e in entries if e.failure_domain == caller_domain]
    found = local if len(local) >= ENOUGH_LOCAL_ENTRIES else entries
    if len(found) <= max_entries:
        return found
    first = int(draw * len(found))
    return [*found[first:], *found[:first]][:max_entries]
