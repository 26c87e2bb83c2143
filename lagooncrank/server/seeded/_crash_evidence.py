"""Passes evidence about crashes on between nodes.

An entry sends its evidence to control nodes. A control node passes on what is
new to it to the other control nodes and to its followers.
"""

from typing import Final

import mode

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import crashes
from lagooncrank.server import links as peer_links
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _step_guard

CHECK_INTERVAL_S: Final = 0.1
#: Shortest interval between two messages with new evidence.
MIN_PUBLISH_INTERVAL_MS: Final = 100
#: Interval at which control nodes send all evidence, as messages may be lost.
REPEAT_INTERVAL_MS: Final = 5_000

_EVIDENCE: Final = "crash-evidence"


class CrashEvidenceExchange(mode.Service):  # type: ignore[misc, unused-ignore]
    """Keeps the evidence of this node the same as that of the others."""

    def __init__(
        self,
        view: _fleet_view.FleetView,
        links: peer_links.Links,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
        origin: str,
    ) -> None:
        """Creates the exchange without any evidence.

        Args:
            view: Tells the nodes to exchange with.
            links: Carries the messages.
            clock: Clock of the process.
            log: Receives what is found and cleared.
            origin: Identifies this start of the node.
        """
        super().__init__()
        self._view = view
        self._links = links
        self._clock = clock
        self._log = log
        self._guard = _step_guard.StepGuard(log)
        self.evidence = crashes.CrashEvidence(origin)
        self._published_ms = 0
        self._repeated_ms = 0
        self._logged: dict[frozenset[str], crashes.Accusation] = {}
        links.on_message(_EVIDENCE, crashes.EvidenceBatch, self._on_evidence)
        links.on_connected(self._on_connected)

    def publish(self) -> None:
        """Sends the evidence that other nodes do not know yet.

        Evidence that follows shortly after other evidence is sent a little
        later, together with what arrives meanwhile.
        """
        self._log_changes()
        now_ms = self._clock.now_ms()
        if now_ms - self._published_ms < MIN_PUBLISH_INTERVAL_MS:
            return
        batch = self.evidence.pop_unsent(now_ms)
        if batch.records or batch.sound:
            self._published_ms = now_ms
            self._send(self._view.news_recipients(), batch)

    @mode.Service.timer(CHECK_INTERVAL_S)  # type: ignore[misc, unused-ignore]
    async def _check_periodically(self) -> None:
        self._guard.run("crash evidence", self.check)

    def check(self) -> None:
        """Evicts what is too old, and sends what is due."""
        if not self.evidence.has_records:
            return
        now_ms = self._clock.now_ms()
        self.evidence.evict_expired(now_ms)
        self.publish()
        if (
            self._view.is_control
            and now_ms - self._repeated_ms >= REPEAT_INTERVAL_MS
        ):
            self._repeated_ms = now_ms
            batch = self.evidence.batch(now_ms)
            self._send(self._view.news_recipients(), batch)

    def _on_evidence(
        self, _sender: model.NodeId, batch: crashes.EvidenceBatch
    ) -> None:
        is_relay = self._view.is_control
        self.evidence.merge(batch, self._clock.now_ms(), is_relay=is_relay)
        if is_relay:
            self.publish()
        else:
            self._log_changes()

    def _on_connected(self, peer: model.NodeId) -> None:
        # The peer may have restarted, or missed evidence while disconnected.
        batch = self.evidence.batch(self._clock.now_ms())
        self._send(frozenset({peer}), batch)

    def _send(
        self, recipients: frozenset[model.NodeId], batch: crashes.EvidenceBatch
    ) -> None:
        if batch.records or batch.sound:
            self._links.send_all(recipients, _EVIDENCE, batch)

    def _log_changes(self) -> None:
        current = {a.features: a for a in self.evidence.accusations}
        for features, accusation in self._logged.items():
            # An accusation of fewer features includes the earlier one.
            if not any(found <= features for found in current):
                self._write(decisions.Event.CRASH_CAUSE_CLEARED, accusation)
        for features, accusation in current.items():
            if features not in self._logged:
                self._write(decisions.Event.CRASH_CAUSE_FOUND, accusation)
        self._logged = current

    def _write(
        self, event: decisions.Event, accusation: crashes.Accusation
    ) -> None:
        self._log.write(
            event,
            features=sorted(accusation.features),
            crashes=accusation.crashes,
            servers=sorted({s for s, _ in accusation.processes}),
        )
