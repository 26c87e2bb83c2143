"""Prometheus metrics of an entry."""

import prometheus_client

from lagooncrank import model
from lagooncrank import results
from lagooncrank.server.seeded import _permit_metrics
from lagooncrank.server.seeded import _reach_metrics

FIRST_BYTE_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
QUEUE_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0)


class EntryMetrics:
    """Metrics of one entry, in their own registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._refusals = prometheus_client.Counter(
            "lagooncrank_refusals",
            "Requests refused or ended by an error, by result code.",
            ("code",),
            registry=self.registry,
        )
        self._retries = prometheus_client.Counter(
            "lagooncrank_retries",
            "Further sends, by why the one before failed and by whether the "
            "retry budget was charged.",
            ("reason", "charged"),
            registry=self.registry,
        )
        self._failures = prometheus_client.Counter(
            "lagooncrank_failed_attempts",
            "Attempts that yielded no response, by why.",
            ("reason",),
            registry=self.registry,
        )
        self._holds = prometheus_client.Counter(
            "lagooncrank_server_holds",
            "Servers that get nothing more, by what they said of themselves.",
            ("reason",),
            registry=self.registry,
        )
        self._departures = prometheus_client.Counter(
            "lagooncrank_callers_left",
            "Callers that closed their connection before their response was "
            "complete, by whether their request had been sent on.",
            ("sent",),
            registry=self.registry,
        )
        self._cuts = prometheus_client.Counter(
            "lagooncrank_responses_cut",
            "Responses whose connection was closed before their end, by result "
            "code.",
            ("code",),
            registry=self.registry,
        )
        self._silent_runs = prometheus_client.Counter(
            "lagooncrank_silent_runs",
            "Runs that were taken for silent and attempted elsewhere, by why "
            "and by whether this entry itself stood still meanwhile.",
            ("reason", "late"),
            registry=self.registry,
        )
        self._first_byte_s = prometheus_client.Histogram(
            "lagooncrank_first_byte_seconds",
            "Time from arrival to the first event or the whole answer.",
            ("service",),
            buckets=FIRST_BYTE_BUCKETS_S,
            registry=self.registry,
        )

        self._queue_s = prometheus_client.Histogram(
            "lagooncrank_queue_seconds",
            "Time that a request waited for a place at a group.",
            ("service",),
            buckets=QUEUE_BUCKETS_S,
            registry=self.registry,
        )

        self.reach = _reach_metrics.ReachMetrics(self.registry)
        self.permits = _permit_metrics.PermitMetrics(self.registry)

    def observe_queue_time(
        self, service: model.ServiceName, queued_ms: int
    ) -> None:
        """Observes the time that a request waited for a slot."""
        self._queue_s.labels(service).observe(queued_ms / 1_000)

    def count_refusal(self, code: results.ResultCode) -> None:
        """Counts a request that this system ended with a result code."""
        self._refusals.labels(code.name).inc()

    def count_cut(self, code: results.ResultCode) -> None:
        """Counts a response that this system ended midway."""
        self._cuts.labels(code.name).inc()

    def count_silent_run(self, reason: str, *, was_late: bool) -> None:
        """Counts a run that is taken for silent.

        Args:
            reason: Why.
            was_late: Whether this entry itself stood still in the silence.
        """
        self._silent_runs.labels(reason, str(was_late).lower()).inc()

    def count_retry(self, reason: str, *, is_charged: bool) -> None:
        """Counts a retry.

        Args:
            reason: Why the attempt before failed.
            is_charged: Whether the retry budget was charged for it.
        """
        self._retries.labels(reason, str(is_charged).lower()).inc()

    def count_failure(self, reason: str) -> None:
        """Counts an attempt that yielded no response."""
        self._failures.labels(reason).inc()

    def count_departure(self, *, was_sent: bool) -> None:
        """Counts a caller that left before its response was complete."""
        self._departures.labels(str(was_sent).lower()).inc()

    def count_hold(self, reason: str) -> None:
        """Counts a server that wants no new requests."""
        self._holds.labels(reason).inc()

    def observe_response(
        self, service: model.ServiceName, first_ms: int
    ) -> None:
        """Observes the time to the first event or to the complete response."""
        self._first_byte_s.labels(service).observe(first_ms / 1_000)

    def exposition(self) -> bytes:
        """Returns these and the process-wide metrics in Prometheus format."""
        shared = prometheus_client.generate_latest(prometheus_client.REGISTRY)
        return shared + prometheus_client.generate_latest(self.registry)
