"""Table of the revision that each node last reported."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReport:
    """One node's report of the revision that it has in force."""

    node_id: model.NodeId
    #: 0 before the first revision.
    revision: int
    #: Age of the report when it was forwarded.
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LaggingNode:
    """A node that is not known to have reached a revision."""

    node_id: model.NodeId
    #: Revision that the node last reported; 0 if none.
    revision: int
    #: Age of the node's newest report; None if it never reported.
    heard_ms_ago: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Rollout of one revision: nodes that have it, or a later one, in force."""

    revision: int
    in_force: tuple[model.NodeId, ...]
    lagging: tuple[LaggingNode, ...]

    @property
    def is_complete(self) -> bool:
        """Whether no node is lagging."""
        return not self.lagging


class RevisionTable:
    """Collects revision reports and finds nodes that lag behind a revision.

    >>> table = RevisionTable()
    >>> table.record(RevisionReport(model.NodeId("n1"), 8), now_ms=100)
    >>> nodes = [model.NodeId("n1"), model.NodeId("n2")]
    >>> status = table.rollout_status(8, nodes, now_ms=150)
    >>> [node.node_id for node in status.lagging]
    ['n2']
    """

    def __init__(self) -> None:
        self._revisions: dict[model.NodeId, int] = {}
        self._reported_ms: dict[model.NodeId, int] = {}

    def record(self, report: RevisionReport, now_ms: int) -> None:
        """Records a report unless a newer one of the node is known."""
        reported_ms = now_ms - report.age_ms
        if reported_ms < self._reported_ms.get(report.node_id, reported_ms):
            return
        self._revisions[report.node_id] = report.revision
        self._reported_ms[report.node_id] = reported_ms

    def reports(self, now_ms: int) -> tuple[RevisionReport, ...]:
        """Returns the newest report of every node, with its age."""
        return tuple(
            RevisionReport(
                node_id, revision, now_ms - self._reported_ms[node_id]
            )
            for node_id, revision in self._revisions.items()
        )

    def rollout_status(
        self, revision: int, nodes: Iterable[model.NodeId], now_ms: int
    ) -> RolloutStatus:
        """Returns which of `nodes` have at least `revision` in force."""
        in_force = []
        lagging = []
        for node_id in nodes:
            known = self._revisions.get(node_id, 0)
            if known >= revision:
                in_force.append(node_id)
            else:
                lagging.append(
                    LaggingNode(
                        node_id, known, self._report_age_ms(node_id, now_ms)
                    )
                )
        return RolloutStatus(revision, tuple(in_force), tuple(lagging))

    def _report_age_ms(self, node_id: model.NodeId, now_ms: int) -> int | None:
        if node_id not in self._reported_ms:
            return None
        return now_ms - self._reported_ms[node_id]
