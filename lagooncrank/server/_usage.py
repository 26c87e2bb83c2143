"""Tells the other entries what the client accounts use here."""

import mode

from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.server import _admission_desk
from lagooncrank.server import _ports

USAGE_KIND = "usage"
REPORT_INTERVAL_S = 0.2


class UsageExchange(mode.Service):
    """Sends usage reports while there is any use, and one when it ended."""

    def __init__(
        self, desk: _admission_desk.AdmissionDesk, links: _ports.PeerLinks
    ) -> None:
        super().__init__()
        self._desk = desk
        self._links = links
        self._reported_use = False
        links.on_message(USAGE_KIND, admission.UsageReport, self._on_report)

    def report(self) -> None:
        """Sends the present use to every connected entry."""
        report = self._desk.usage_report()
        in_use = bool(report.usages)
        if in_use or self._reported_use:
            for node_id in self._links.connected():
                self._links.send(node_id, USAGE_KIND, report)
        self._reported_use = in_use

    def _on_report(
        self, node_id: model.NodeId, report: admission.UsageReport
    ) -> None:
        self._desk.observe_usage(report)

    @mode.Service.task
    async def _report_regularly(self) -> None:
        while not self.should_stop:
            self.report()
            await self.sleep(REPORT_INTERVAL_S)
