"""Prometheus metrics of permits, at entries and control nodes."""

import prometheus_client


class PermitMetrics:
    """Counts permits to send to servers that limit their requests."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._permits = prometheus_client.Counter(
            "lagooncrank_permits",
            "Permits to send to servers that limit their requests, by what "
            "became of them.",
            ("outcome",),
            registry=registry,
        )

    def count(self, outcome: str, count: int) -> None:
        """Counts permits that were issued, used or not used in time."""
        self._permits.labels(outcome).inc(count)
