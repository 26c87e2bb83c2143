"""Tells the other entries what the client accounts use here."""

import mode

from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import routing
from lagooncrank.server import _admission_desk
from lagooncrank.server import _interfaces

USAGE_KIND = "usage"
REPORT_INTERVAL_S = admission.LIMITS_INTERVAL_MS / 1_000
#: An entry without use reports once in so many intervals.
IDLE_TURNS = 5


class UsageExchange(mode.Service):
    """Sends usage reports often while there is any use, else seldom.

    An entry without use still reports: the others must know that it takes no
    part of the capacity.
    """

    def __init__(
        self,
        desk: _admission_desk.AdmissionDesk,
        router: routing.Router,
        links: _interfaces.PeerLinks,
    ) -> None:
        super().__init__()
        self._desk = desk
        self._router = router
        self._links = links
        self._turns_without_use = 0
        self._ever_connected: frozenset[model.NodeId] = frozenset()
        links.on_message(USAGE_KIND, admission.UsageReport, self._on_report)

    def report(self) -> None:
        """Sends the present use to every connected entry."""
        report = self._desk.usage_report()
        connected = self._links.connected()
        self._note_silent(connected)
        if self._is_due(report):
            for node_id in connected:
                self._links.send(node_id, USAGE_KIND, report)

    def _is_due(self, report: admission.UsageReport) -> bool:
        if report.services:
            self._turns_without_use = 0
            return True
        self._turns_without_use += 1
        return self._turns_without_use % IDLE_TURNS == 1

    def _note_silent(self, connected: frozenset[model.NodeId]) -> None:
        self._ever_connected |= connected
        self._router.set_unresponsive_entries(self._ever_connected - connected)

    def _on_report(
        self, node_id: model.NodeId, report: admission.UsageReport
    ) -> None:
        self._desk.observe_usage(report)

    @mode.Service.task
    async def _report_regularly(self) -> None:
        while not self.should_stop:
            self.report()
            await self.sleep(REPORT_INTERVAL_S)
