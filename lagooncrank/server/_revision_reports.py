"""Exchange of the configuration revisions that nodes have in force.

Each node reports only to the voters, so that a change costs a node a few
small messages and a voter one message per node; in a full mesh, every node
would send one message to every other node. For a query, an entry collects the
tables of the voters.
"""

import asyncio
from collections.abc import Sequence
import dataclasses

import mode

from lagooncrank import clock
from lagooncrank import model
from lagooncrank.core import revisions
from lagooncrank.core import state
from lagooncrank.server import _interfaces

#: Interval before a report is first repeated; it doubles at each repeat.
MIN_REPORT_INTERVAL_MS = 500
#: Maximum interval between two reports.
MAX_REPORT_INTERVAL_MS = 15_000
#: How long an entry waits for the tables of the voters.
QUERY_TIMEOUT_MS = 1_000

_REPORT = "revision-report"
_QUERY = "revision-query"
_TABLE = "revision-table"


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionQuery:
    """Requests a voter's table of reports."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReply:
    """Reply to a `RevisionQuery`: the voter's table of reports."""

    sequence: int
    reports: tuple[revisions.RevisionReport, ...]


class RevisionExchange(mode.Service):  # type: ignore[misc, unused-ignore]
    """Reports this node's revision and collects those of other nodes."""

    def __init__(
        self,
        node_id: model.NodeId,
        voters: Sequence[model.NodeId],
        shared: _interfaces.SharedState,
        links: _interfaces.PeerLinks,
        clock_: clock.Clock,
    ) -> None:
        super().__init__()
        self._node_id = node_id
        self._voters = frozenset(voters)
        self._shared = shared
        self._links = links
        self._clock = clock_
        self._table = revisions.RevisionTable()
        self._changed = asyncio.Event()
        self._reported_revision = 0
        self._sequence = 0
        self._pending_voters: dict[int, set[model.NodeId]] = {}
        self._reply_arrived = asyncio.Event()
        links.on_message(_REPORT, revisions.RevisionReport, self._on_report)
        links.on_message(_QUERY, RevisionQuery, self._on_query)
        links.on_message(_TABLE, RevisionReply, self._on_table)
        shared.on_applied(self._on_applied)

    async def rollout_status(
        self, revision: int, nodes: Sequence[model.NodeId]
    ) -> revisions.RolloutStatus:
        """Queries the voters and returns which of `nodes` have `revision`."""
        await self._query_voters()
        self._record_own_report()
        return self._table.rollout_status(revision, nodes, self._clock.now_ms())

    async def _query_voters(self) -> None:
        queried = (self._voters & self._links.connected()) - {self._node_id}
        if not queried:
            return
        self._sequence += 1
        sequence = self._sequence
        self._pending_voters[sequence] = set(queried)
        for voter in sorted(queried):
            self._links.send(voter, _QUERY, RevisionQuery(sequence))
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_MS / clock.MS_PER_S):
                await self._wait_for_replies(sequence)
        except TimeoutError:
            self.log.info("a voter did not send its table of revisions in time")
        finally:
            del self._pending_voters[sequence]

    async def _wait_for_replies(self, sequence: int) -> None:
        while self._pending_voters[sequence]:
            self._reply_arrived.clear()
            await self._reply_arrived.wait()

    @mode.Service.task  # type: ignore[untyped-decorator, unused-ignore]
    async def _report_periodically(self) -> None:
        interval_ms = MIN_REPORT_INTERVAL_MS
        while not self.should_stop:
            self._changed.clear()
            self._send_report()
            try:
                async with asyncio.timeout(interval_ms / clock.MS_PER_S):
                    await self._changed.wait()
                interval_ms = MIN_REPORT_INTERVAL_MS
            except TimeoutError:
                interval_ms = min(2 * interval_ms, MAX_REPORT_INTERVAL_MS)

    def _own_report(self) -> revisions.RevisionReport:
        configuration = self._shared.view.configuration
        revision = configuration.revision if configuration else 0
        return revisions.RevisionReport(self._node_id, revision)

    def _record_own_report(self) -> None:
        self._table.record(self._own_report(), self._clock.now_ms())

    def _send_report(self) -> None:
        report = self._own_report()
        self._reported_revision = report.revision
        for voter in sorted(self._voters - {self._node_id}):
            self._links.send(voter, _REPORT, report)

    def _on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        # A snapshot that replaced the state is reported as another command, so
        # the revision is compared instead of the command's type.
        if self._own_report().revision != self._reported_revision:
            self._changed.set()

    def _on_report(
        self, sender: model.NodeId, report: revisions.RevisionReport
    ) -> None:
        received = dataclasses.replace(report, node_id=sender, age_ms=0)
        self._table.record(received, self._clock.now_ms())

    def _on_query(self, sender: model.NodeId, query: RevisionQuery) -> None:
        self._record_own_report()
        reports = self._table.reports(self._clock.now_ms())
        reply = RevisionReply(query.sequence, reports)
        self._links.send(sender, _TABLE, reply)

    def _on_table(self, sender: model.NodeId, reply: RevisionReply) -> None:
        now_ms = self._clock.now_ms()
        for report in reply.reports:
            self._table.record(report, now_ms)
        self._pending_voters.get(reply.sequence, set()).discard(sender)
        self._reply_arrived.set()
