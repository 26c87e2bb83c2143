"""Which entries callers should use."""

import dataclasses

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server import _lifecycle
from lagooncrank.server import _ports
from lagooncrank.server import _readiness

STATE_KIND = "entry_state"
STATE_INTERVAL_S = 0.5
#: Word of an entry's state that is older counts as no word.
STATE_LIFETIME_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class EntryState:
    """What an entry tells the others of itself."""

    serving: bool


class EntryDirectory(mode.Service):
    """Knows the entries that serve, and tells the others of this one."""

    def __init__(
        self,
        process: settings.ProcessSettings,
        lifecycle: _lifecycle.Lifecycle,
        readiness: _readiness.Readiness,
        links: _ports.PeerLinks,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._own = process.own_node
        self._peers = tuple(
            node
            for node in process.nodes
            if node.node_id != process.node_id
            and settings.Role.ENTRY in node.roles
        )
        self._lifecycle = lifecycle
        self._readiness = readiness
        self._links = links
        self._clock = clock
        self._serving_until_ms: dict[model.NodeId, int] = {}
        self._turn = 0
        links.on_message(STATE_KIND, EntryState, self._on_state)

    def addresses(
        self, failure_domain_id: model.FailureDomainId | None
    ) -> list[_ports.EntryAddress]:
        """Returns the serving entries, best first.

        Entries of the caller's failure domain come first. Within one failure
        domain each answer begins with another entry, which spreads callers.
        An entry that knows of none, as when it is cut off, names all others.
        """
        serving = self._serving() or list(self._peers)
        self._turn += 1
        turn = self._turn % max(1, len(serving))
        rotated = serving[turn:] + serving[:turn]
        wanted = failure_domain_id or self._own.failure_domain_id
        rotated.sort(key=lambda node: node.failure_domain_id != wanted)
        return [
            _ports.EntryAddress(node.entry_address, node.failure_domain_id)
            for node in rotated
        ]

    def others(self) -> list[str]:
        """Returns the addresses of other entries, best first."""
        own_node = self._own.entry_address
        listed = self.addresses(None)
        return [entry.address for entry in listed if entry.address != own_node]

    def tell(self) -> None:
        """Tells the other entries whether this one serves."""
        serving = self._serves()
        for node_id in self._links.connected():
            self._links.send(node_id, STATE_KIND, EntryState(serving))

    def _serving(self) -> list[settings.PeerSettings]:
        now_ms = self._clock.now_ms()
        connected = self._links.connected()
        serving = [
            node
            for node in self._peers
            if node.node_id in connected
            and self._serving_until_ms.get(node.node_id, 0) > now_ms
        ]
        if self._serves():
            serving.insert(0, self._own)
        return serving

    def _serves(self) -> bool:
        settled = self._readiness.check()
        return settled and self._lifecycle.phase is _lifecycle.Phase.SERVING

    def _on_state(self, node_id: model.NodeId, body: EntryState) -> None:
        until_ms = self._clock.now_ms() + STATE_LIFETIME_MS
        self._serving_until_ms[node_id] = until_ms if body.serving else 0

    @mode.Service.task
    async def _tell_regularly(self) -> None:
        while not self.should_stop:
            self.tell()
            await self.sleep(STATE_INTERVAL_S)
