"""Exchanges usage reports of client accounts with the other entries."""

import mode

from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import routing
from lagooncrank.server import _admission_service
from lagooncrank.server import _interfaces

USAGE_KIND = "usage"
REPORT_INTERVAL_S = admission.LIMITS_INTERVAL_MS / 1_000
#: An entry without usage sends a report once in this many intervals.
IDLE_INTERVALS = 5


class UsageExchange(mode.Service):
    """Sends usage reports at each interval, or less often while idle.

    An idle entry still reports, so that the others know that it uses none of
    the capacity.
    """

    def __init__(
        self,
        admission_service: _admission_service.AdmissionService,
        router: routing.Router,
        links: _interfaces.PeerLinks,
    ) -> None:
        super().__init__()
        self._admission_service = admission_service
        self._router = router
        self._links = links
        self._idle_intervals = 0
        self._ever_connected: frozenset[model.NodeId] = frozenset()
        links.on_message(USAGE_KIND, admission.UsageReport, self._on_report)

    def report(self) -> None:
        """Sends the current usage to every connected entry, if it is due."""
        report = self._admission_service.usage_report()
        connected = self._links.connected()
        self._update_unresponsive(connected)
        if self._is_due(report):
            for node_id in connected:
                self._links.send(node_id, USAGE_KIND, report)

    def _is_due(self, report: admission.UsageReport) -> bool:
        if report.services:
            self._idle_intervals = 0
            return True
        self._idle_intervals += 1
        return self._idle_intervals % IDLE_INTERVALS == 1

    def _update_unresponsive(self, connected: frozenset[model.NodeId]) -> None:
        self._ever_connected |= connected
        self._router.set_unresponsive_entries(self._ever_connected - connected)

    def _on_report(
        self, node_id: model.NodeId, report: admission.UsageReport
    ) -> None:
        self._admission_service.observe_usage(report)

    @mode.Service.task
    async def _report_regularly(self) -> None:
        while not self.should_stop:
            self.report()
            await self.sleep(REPORT_INTERVAL_S)
