"""Known control nodes: peer links to them and candidates for the upstream."""

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server import _shared_state
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _decision_log


class ControlNodes:
    """Keeps peer links to the control nodes that were reported last."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        links: peer_links.Links,
        shared: _shared_state.ReplicatedState,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._settings = node_settings
        self._links = links
        self._shared = shared
        self._log = log
        self._known: tuple[model.NodeId, ...] = ()

    def __contains__(self, node_id: object) -> bool:
        return node_id in self._known

    def add(self, node_ids: tuple[model.NodeId, ...]) -> None:
        """Adds control nodes to the known ones."""
        self.replace((*self._known, *node_ids))

    def replace(self, node_ids: tuple[model.NodeId, ...]) -> None:
        """Replaces the known control nodes; the voters are always included.

        Links to nodes that are no longer known are dropped, except to seeds.
        Any known node may become this node's upstream.
        """
        found = dict.fromkeys((*node_ids, *self.voters()))
        if not found or tuple(found) == self._known:
            return
        for removed in set(self._known) - set(found):
            if removed not in self._settings.seed_ids:
                self._links.remove_peer(removed)
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
        """Returns the voters according to this node's consensus log."""
        voters = self._shared.voters
        if voters is None:
            return ()
        return tuple(v.node_id for v in voters.members)

    def others(self) -> list[model.NodeId]:
        """Returns the known control nodes other than this node."""
        own_id = self._settings.node_id
        return [n for n in self._known if n != own_id]

    def others_by_distance(self) -> list[model.NodeId]:
        """Returns the other control nodes, nearest first.

        Addresses in one failure domain share a prefix, so the control node
        with the longest common prefix counts as the nearest.
        """
        own_ip = self._settings.ip
        return sorted(
            self.others(), key=lambda n: (-_common_prefix(own_ip, n), n)
        )


def _common_prefix(first_ip: str, second_ip: str) -> int:
    """Returns how many leading octets two IPv4 addresses share.

    >>> _common_prefix("10.1.0.40", "10.1.0.43")
    3
    """
    pairs = zip(first_ip.split("."), second_ip.split("."), strict=False)
    return next((i for i, (a, b) in enumerate(pairs) if a != b), 4)
