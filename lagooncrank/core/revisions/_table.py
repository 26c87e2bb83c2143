"""Table of the newest revision that each node reported."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReport:
    """One node's word on the revision that it has in force."""

    node_id: model.NodeId
    #: 0 before the first revision.
    revision: int
    #: Age of the report when it was passed on, in milliseconds.
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LaggingNode:
    """A node that is not known to have a revision in force."""

    node_id: model.NodeId
    #: Newest revision that the node reported; 0 if none.
    revision: int
    #: Age of its newest report in milliseconds; None if it never reported.
    heard_ms_ago: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Where a revision, or a later one, is in force."""

    revision: int
    in_force: tuple[model.NodeId, ...]
    lagging: tuple[LaggingNode, ...]

    @property
    def is_complete(self) -> bool:
        """Whether no node lags."""
        return not self.lagging


class RevisionTable:
    """Collects reports and answers which nodes lag behind a revision.

    >>> table = RevisionTable()
    >>> table.record(RevisionReport(model.NodeId("n1"), 8), now_ms=100)
    >>> nodes = [model.NodeId("n1"), model.NodeId("n2")]
    >>> status = table.rollout_status(8, nodes, now_ms=150)
    >>> [node.node_id for node in status.lagging]
    ['n2']
    """

    def __init__(self) -> None:
        self._revisions: dict[model.NodeId, int] = {}
        self._heard_ms: dict[model.NodeId, int] = {}

    def record(self, report: RevisionReport, now_ms: int) -> None:
        """Takes a report; one older than the newest known changes nothing."""
        heard_ms = now_ms - report.age_ms
        if heard_ms < self._heard_ms.get(report.node_id, heard_ms):
            return
        self._revisions[report.node_id] = report.revision
        self._heard_ms[report.node_id] = heard_ms

    def reports(self, now_ms: int) -> tuple[RevisionReport, ...]:
        """Returns everything known, each report with its age."""
        return tuple(
            RevisionReport(node_id, revision, now_ms - self._heard_ms[node_id])
            for node_id, revision in self._revisions.items()
        )

    def rollout_status(
        self, revision: int, nodes: Iterable[model.NodeId], now_ms: int
    ) -> RolloutStatus:
        """Returns which of `nodes` have `revision` or a later one in force."""
        in_force = []
        lagging = []
        for node_id in nodes:
            known = self._revisions.get(node_id, 0)
            if known >= revision:
                in_force.append(node_id)
            else:
                lagging.append(
                    LaggingNode(node_id, known, self._age(node_id, now_ms))
                )
        return RolloutStatus(revision, tuple(in_force), tuple(lagging))

    def _age(self, node_id: model.NodeId, now_ms: int) -> int | None:
        if node_id not in self._heard_ms:
            return None
        return now_ms - self._heard_ms[node_id]
