"""Control nodes that this node knows, links to and may follow."""

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server import _shared_state
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _decisions


class ControlNodes:
    """Keeps links with the control nodes that were last heard of."""

    def __init__(
        self,
        own: settings.SeededSettings,
        links: peer_links.Links,
        shared: _shared_state.ReplicatedState,
        log: _decisions.DecisionLog,
    ) -> None:
        self._settings = own
        self._links = links
        self._shared = shared
        self._log = log
        self._known: tuple[model.NodeId, ...] = ()

    def __contains__(self, node_id: object) -> bool:
        return node_id in self._known

    def add(self, node_ids: tuple[model.NodeId, ...]) -> None:
        """Keeps links with further control nodes."""
        self.follow((*self._known, *node_ids))

    def follow(self, node_ids: tuple[model.NodeId, ...]) -> None:
        """Keeps links with these and the voters, and may follow any of them."""
        found = dict.fromkeys((*node_ids, *self.voters()))
        if not found or tuple(found) == self._known:
            return
        for gone in set(self._known) - set(found):
            if gone not in self._settings.seed_ids:
                self._links.remove_peer(gone)
        self._known = tuple(found)
        for node_id in self._known:
            if node_id != self._settings.node_id:
                address = self._settings.peer_address(node_id)
                self._links.add_peer(node_id, address)
        self._log.write(decisions.Event.NODE, control=self._known)
        self._shared.set_peers(
            tuple(self.others_by_distance()), frozenset(self._known)
        )

    def voters(self) -> tuple[model.NodeId, ...]:
        """Returns the voters as this node's log has them."""
        voters = self._shared.voters
        if voters is None:
            return ()
        return tuple(v.node_id for v in voters.members)

    def others(self) -> list[model.NodeId]:
        """Returns the control nodes without this node."""
        own = self._settings.node_id
        return [n for n in self._known if n != own]

    def others_by_distance(self) -> list[model.NodeId]:
        """Returns the other control nodes, the nearest first.

        Addresses of one failure domain share a prefix, so the control node
        with the longest common prefix is the nearest.
        """
        own = self._settings.ip
        return sorted(self.others(), key=lambda n: (-_common_prefix(own, n), n))


def _common_prefix(one: str, other: str) -> int:
    """Returns how many leading parts two IP addresses share.

    >>> _common_prefix("10.1.0.40", "10.1.0.43")
    3
    """
    pairs = zip(one.split("."), other.split("."), strict=False)
    return next((i for i, (a, b) in enumerate(pairs) if a != b), 4)
