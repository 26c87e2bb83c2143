"""Metrics of an entry's paths to services, and of delegated requests."""

import prometheus_client


class ReachMetrics:
    """Counters of probes, changes and delegated requests."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Registers the metrics in the registry of the entry."""
        self._probes = prometheus_client.Counter(
            "lagooncrank_reach_probes",
            "Health checks of services that seem unreached, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self._life_probes = prometheus_client.Counter(
            "lagooncrank_life_probes",
            "Health checks of servers that a silent request may be repeated "
            "at, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self._changes = prometheus_client.Counter(
            "lagooncrank_reach_changes",
            "Services that this entry lost its path to, or regained.",
            ("change",),
            registry=registry,
        )
        self._delegated = prometheus_client.Counter(
            "lagooncrank_delegated_requests",
            "Requests that this entry delegated to others, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self._accepted = prometheus_client.Counter(
            "lagooncrank_accepted_delegations",
            "Requests that other entries delegated to this one, by outcome.",
            ("outcome",),
            registry=registry,
        )

    def count_probe(self, outcome: str) -> None:
        """Counts a probe."""
        self._probes.labels(outcome).inc()

    def count_life_probe(self, outcome: str) -> None:
        """Counts a probe for a request that was silent elsewhere."""
        self._life_probes.labels(outcome).inc()

    def count_change(self, *, is_reached: bool) -> None:
        """Counts a confirmed change of a service."""
        self._changes.labels("reached" if is_reached else "unreached").inc()

    def count_delegated(self, outcome: str) -> None:
        """Counts a request that was delegated to another entry."""
        self._delegated.labels(outcome).inc()

    def count_accepted(self, outcome: str) -> None:
        """Counts a request that another entry delegated to this one."""
        self._accepted.labels(outcome).inc()
