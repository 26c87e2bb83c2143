"""Exchange of backend server announcements between entries."""

import dataclasses
from typing import Final

import mode

from lagooncrank import clock
from lagooncrank import model
from lagooncrank.core import membership
from lagooncrank.server import _interfaces

EXCHANGE_INTERVAL_S: Final = 0.25
#: How long the incarnation of an expired backend server is retained.
INCARNATION_RETENTION_MS: Final = 600_000

DELTA_KIND: Final = "announcements"
RESEND_KIND: Final = "announcements_resend"


@dataclasses.dataclass(frozen=True, slots=True)
class ResendRequest:
    """Requests that a peer send every announcement again."""


class AnnouncementExchange(mode.Service):
    """Forwards the announcements received by this entry to its peers.

    Each peer receives them in small batches.
    """

    def __init__(
        self,
        table: membership.Membership,
        links: _interfaces.PeerLinks,
        clock_: clock.Clock,
    ) -> None:
        super().__init__()
        self._table = table
        self._links = links
        self._clock = clock_
        self._connected: frozenset[model.NodeId] = frozenset()
        links.on_message(
            DELTA_KIND, membership.AnnouncementDelta, self._on_delta
        )
        links.on_message(RESEND_KIND, ResendRequest, self._on_resend)

    @mode.Service.timer(EXCHANGE_INTERVAL_S)
    async def _exchange_periodically(self) -> None:
        self.exchange()

    def exchange(self) -> None:
        """Sends each connected peer the announcements not yet sent to it."""
        now_ms = self._clock.now_ms()
        connected = self._links.connected()
        for node_id in connected - self._connected:
            self._table.reset_peer(node_id)
        self._connected = connected
        for node_id in sorted(connected):
            delta = self._table.delta_for(node_id, now_ms)
            if delta is not None:
                self._links.send(node_id, DELTA_KIND, delta)
        self._table.expire(now_ms, INCARNATION_RETENTION_MS)

    def _on_delta(
        self, sender: model.NodeId, delta: membership.AnnouncementDelta
    ) -> None:
        if not self._table.merge(delta, self._clock.now_ms()):
            self._links.send(sender, RESEND_KIND, ResendRequest())

    def _on_resend(self, sender: model.NodeId, body: ResendRequest) -> None:
        self._table.reset_peer(sender)
