"""Prometheus metrics of a control node."""

import prometheus_client

from lagooncrank.core import groups
from lagooncrank.server.seeded import _permit_metrics

ORDER_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class ControlMetrics:
    """Metrics of one control node, in their own registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._orders_s = prometheus_client.Histogram(
            "lagooncrank_order_seconds",
            "Time from an order to an engine until its answer, by status; "
            "status 0 is none.",
            ("order", "status"),
            buckets=ORDER_BUCKETS_S,
            registry=self.registry,
        )
        self._group_changes = prometheus_client.Counter(
            "lagooncrank_group_changes",
            "Changes of groups that were proposed, by kind and outcome.",
            ("change", "outcome"),
            registry=self.registry,
        )
        self._refused_reports = prometheus_client.Counter(
            "lagooncrank_refused_reports",
            "Reports that are not of the server that they name, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.permits = _permit_metrics.PermitMetrics(self.registry)

    def observe_order(
        self, order: groups.OrderKind | str, status: int, took_ms: int
    ) -> None:
        """Observes the response to an order; status 0 means that none came."""
        seconds = took_ms / 1_000
        self._orders_s.labels(str(order), str(status)).observe(seconds)

    def count_group_change(self, change: str, outcome: str) -> None:
        """Counts a proposed change to a group."""
        self._group_changes.labels(change, outcome).inc()

    def count_refused_report(self, reason: str) -> None:
        """Counts a report that is not of the server that it names."""
        self._refused_reports.labels(reason).inc()

    def exposition(self) -> bytes:
        """Returns these and the process-wide metrics in Prometheus format."""
        shared = prometheus_client.generate_latest(prometheus_client.REGISTRY)
        return shared + prometheus_client.generate_latest(self.registry)
