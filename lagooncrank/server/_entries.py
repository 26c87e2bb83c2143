"""Directory of the entries that callers should use."""

import dataclasses

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.server import _interfaces
from lagooncrank.server import _lifecycle
from lagooncrank.server import _readiness

STATE_KIND = "entry_state"
STATE_INTERVAL_S = 0.5
#: An entry's reported state expires after this time.
STATE_LIFETIME_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class EntryState:
    """State that an entry reports to the other entries."""

    serving: bool


class EntryDirectory(mode.Service):
    """Tracks the serving entries and reports the state of this one."""

    def __init__(
        self,
        process: settings.ProcessSettings,
        lifecycle: _lifecycle.Lifecycle,
        readiness: _readiness.Readiness,
        links: _interfaces.PeerLinks,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._own_node = process.own_node
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
        self._rotation = 0
        links.on_message(STATE_KIND, EntryState, self._on_state)

    def addresses(
        self, failure_domain_id: model.FailureDomainId | None
    ) -> list[_interfaces.EntryAddress]:
        """Returns the serving entries, in order of preference.

        Entries of the caller's failure domain come first. Within a failure
        domain, successive calls start with different entries, which spreads
        the callers. If this entry knows of no serving entry, for example
        during a network partition, all other entries are returned.
        """
        serving = self._serving_entries() or list(self._peers)
        self._rotation += 1
        offset = self._rotation % max(1, len(serving))
        rotated = serving[offset:] + serving[:offset]
        preferred = failure_domain_id or self._own_node.failure_domain_id
        rotated.sort(key=lambda node: node.failure_domain_id != preferred)
        return [
            _interfaces.EntryAddress(node.entry_address, node.failure_domain_id)
            for node in rotated
        ]

    def other_addresses(self) -> list[str]:
        """Returns the addresses of other entries, in order of preference."""
        own_address = self._own_node.entry_address
        listed = self.addresses(None)
        return [
            entry.address for entry in listed if entry.address != own_address
        ]

    def publish_state(self) -> None:
        """Reports to the other entries whether this one is serving."""
        serving = self._is_serving()
        for node_id in self._links.connected():
            self._links.send(node_id, STATE_KIND, EntryState(serving))

    def _serving_entries(self) -> list[settings.PeerSettings]:
        now_ms = self._clock.now_ms()
        connected = self._links.connected()
        serving = [
            node
            for node in self._peers
            if node.node_id in connected
            and self._serving_until_ms.get(node.node_id, 0) > now_ms
        ]
        if self._is_serving():
            serving.insert(0, self._own_node)
        return serving

    def _is_serving(self) -> bool:
        is_ready = self._readiness.check()
        return is_ready and self._lifecycle.phase is _lifecycle.Phase.SERVING

    def _on_state(self, node_id: model.NodeId, body: EntryState) -> None:
        until_ms = self._clock.now_ms() + STATE_LIFETIME_MS
        self._serving_until_ms[node_id] = until_ms if body.serving else 0

    @mode.Service.task
    async def _publish_periodically(self) -> None:
        while not self.should_stop:
            self.publish_state()
            await self.sleep(STATE_INTERVAL_S)
