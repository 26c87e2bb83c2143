"""Control node: takes part in consensus, tracks the fleet, forms groups."""

import asyncio

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import fleet
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _disk_watch
from lagooncrank.server.seeded import _group_driver
from lagooncrank.server.seeded import _node
from lagooncrank.server.seeded import _retained_state
from lagooncrank.server.seeded import _voter_watch


class ControlNode(_node.Node):
    """One control node.

    The adapter provides the HTTP servers for operators and backend servers.
    """

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        document_codec: _adapter.DocumentCodec,
        engines: _adapter.EngineClient,
        clock: clocks.Clock,
        started_ms: int | None = None,
    ) -> None:
        super().__init__(node_settings, document_codec, clock, started_ms)
        self.metrics = _control_metrics.ControlMetrics()
        self.server_limits.count_permits = self.metrics.permits.count
        assert self.side_file is not None, "a control node must have a disk"
        self._retained = _retained_state.RetainedState(
            self.side_file,
            self.view,
            self.crash_evidence,
            clock,
            self.decision_log,
        )
        self._disk_watch = _disk_watch.DiskWatch(
            self.shared, node_settings.data_folder
        )
        self._voter_watch = _voter_watch.VoterWatch(
            self.shared, self.decision_log
        )
        self._driver = _group_driver.GroupDriver(
            node_settings,
            self.shared,
            self.view,
            self.documents,
            engines,
            clock,
            self.observed_clock,
            self.decision_log,
            self.metrics,
        )

    async def on_start(self) -> None:
        """Starts the common components and those of a control node."""
        await super().on_start()
        await self.add_runtime_dependency(self._retained)
        await self.add_runtime_dependency(self._driver)
        await self.add_runtime_dependency(self._disk_watch)
        await self.add_runtime_dependency(self._voter_watch)

    async def prepare_stop(self) -> None:
        """Lets others lead and vote in this node's place, while it serves."""
        await super().prepare_stop()
        await self.shared.hand_over()

    async def record_report(
        self, report: model.ServerReport
    ) -> results.ResultCode:
        """Records a report that a backend server sent to this node.

        Returns:
            OK if it counts and may be acknowledged. INVALID_ANNOUNCEMENT if it
            cannot be of the server that it names. STORAGE_FAILED if it says
            that a process leaves, which must outlast a restart of all nodes.
        """
        problem = self._find_problem(report)
        if problem is not None:
            self.log_refused_report(report.server_id, problem)
            return results.ResultCode.INVALID_ANNOUNCEMENT
        self.view.reports.record(report)
        if report.state is model.ServerState.READY:
            return results.ResultCode.OK
        return await self._save_departures()

    async def deregister(
        self, server_id: model.BackendServerId, born_ms: int | None
    ) -> results.ResultCode:
        """Removes a backend server that announced its stop.

        Returns:
            OK if it may be acknowledged; UNKNOWN_RESOURCE if this node does not
            know which process it is, as another may; INVALID_ANNOUNCEMENT if
            there can be no such process; or STORAGE_FAILED.
        """
        if born_ms is None and self.view.table.get(server_id) is None:
            return results.ResultCode.UNKNOWN_RESOURCE
        if born_ms is not None and fleet.is_in_future(
            born_ms, self.clock.wall_ms()
        ):
            problem = fleet.ReportProblem.START_IN_FUTURE
            self.log_refused_report(server_id, problem)
            return results.ResultCode.INVALID_ANNOUNCEMENT
        self.view.reports.deregister(server_id, born_ms)
        return await self._save_departures()

    async def _save_departures(self) -> results.ResultCode:
        # What has arrived together is written together.
        await asyncio.sleep(0)
        if self._retained.save_departures():
            return results.ResultCode.OK
        return results.ResultCode.STORAGE_FAILED

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum responded recently.

        Without one, reports that this node accepted would not reach others.
        """
        return self.shared.has_quorum

    def log_refused_report(
        self,
        server_id: str,
        problem: fleet.ReportProblem,
        detail: str = "",
    ) -> None:
        """Logs and counts a report that is not of the server it names."""
        self.metrics.count_refused_report(problem)
        self.decision_log.write(
            decisions.Event.REPORT_REFUSED,
            server=server_id,
            reason=problem,
            detail=detail,
        )

    def _find_problem(
        self, report: model.ServerReport
    ) -> fleet.ReportProblem | None:
        known = self.view.table.get(report.server_id)
        catalog = self.documents.catalog
        return fleet.find_problem(
            report,
            None if known is None else known.report,
            None if catalog is None else catalog.services,
            self.clock.wall_ms(),
        )
