"""Prometheus metrics of one daemon."""

import prometheus_client

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import retry

#: Result code under which each kind of failed attempt is counted.
FAILURE_CODES = {
    retry.FailureKind.CONNECT_FAILED: results.ResultCode.CONNECT_FAILED,
    retry.FailureKind.REFUSED: results.ResultCode.BACKEND_OVERLOADED,
    retry.FailureKind.CONNECTION_LOST: results.ResultCode.BACKEND_LOST,
    retry.FailureKind.FIRST_BYTE_TIMEOUT: (
        results.ResultCode.FIRST_BYTE_TIMEOUT
    ),
    retry.FailureKind.BETWEEN_BYTES_TIMEOUT: (
        results.ResultCode.BETWEEN_BYTES_TIMEOUT
    ),
    retry.FailureKind.PROTOCOL_ERROR: (
        results.ResultCode.BACKEND_PROTOCOL_ERROR
    ),
}

FIRST_TOKEN_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.3, 2.0, 5.0, 20.0)


class Metrics:
    """Counters, gauges and histograms in a separate registry.

    Implements `counting.EventCounters` for the core.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._refusals = prometheus_client.Counter(
            "lagooncrank_refusals",
            "Requests refused or ended by an error, by result code.",
            ("code", "reason"),
            registry=self.registry,
        )
        self._account_refusals = prometheus_client.Counter(
            "lagooncrank_account_refusals",
            "Refusals decided by admission and retry, by client account.",
            ("code", "reason", "account"),
            registry=self.registry,
        )
        self._suspensions = prometheus_client.Counter(
            "lagooncrank_suspensions",
            "Requests whose borrowed capacity was taken back.",
            ("account",),
            registry=self.registry,
        )
        self._retries = prometheus_client.Counter(
            "lagooncrank_retries",
            "Further attempts made, by why the one before failed.",
            ("code", "reason"),
            registry=self.registry,
        )
        self._failed_attempts = prometheus_client.Counter(
            "lagooncrank_failed_attempts",
            "Failed attempts at backend servers, retried or not.",
            ("code", "reason"),
            registry=self.registry,
        )
        self._first_token_s = prometheus_client.Histogram(
            "lagooncrank_first_token_seconds",
            "Time from a request's arrival to its first token.",
            ("service",),
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self._tokens = prometheus_client.Counter(
            "lagooncrank_output_tokens",
            "Output tokens relayed to callers.",
            ("service",),
            registry=self.registry,
        )
        self.in_flight = prometheus_client.Gauge(
            "lagooncrank_requests_in_flight",
            "Requests of callers that were taken and have not ended.",
            registry=self.registry,
        )
        self._create_all_series()

    def count_error(self, code: results.ResultCode) -> None:
        """Counts a refusal or error sent to a caller."""
        self._refusals.labels(str(code.value), code.name).inc()

    def count_refusal(
        self, code: results.ResultCode, account: model.ClientAccountId
    ) -> None:
        """Counts a refusal of an account's request by the core."""
        self._account_refusals.labels(str(code.value), code.name, account).inc()

    def count_retry(self, reason: str, account: model.ClientAccountId) -> None:
        """Counts a retry, by the kind of failure that caused it."""
        code = FAILURE_CODES[retry.FailureKind(reason)]
        self._retries.labels(str(code.value), reason).inc()

    def count_suspension(self, account: model.ClientAccountId) -> None:
        """Counts a request whose borrowed capacity was taken back."""
        self._suspensions.labels(account).inc()

    def count_failed_attempt(self, kind: retry.FailureKind) -> None:
        """Counts a failed attempt."""
        code = FAILURE_CODES[kind]
        self._failed_attempts.labels(str(code.value), kind.value).inc()

    def first_token(self, service: model.ServiceName, duration_ms: int) -> None:
        """Records the time to a request's first token."""
        self._first_token_s.labels(service).observe(duration_ms / 1_000)

    def count_output_tokens(
        self, service: model.ServiceName, tokens: int
    ) -> None:
        """Counts the output tokens of a finished response."""
        self._tokens.labels(service).inc(tokens)

    def exposition(self) -> bytes:
        """Returns all metrics of the process in the Prometheus text format."""
        own = prometheus_client.generate_latest(self.registry)
        return own + prometheus_client.generate_latest()

    def _create_all_series(self) -> None:
        # Reasons that have not occurred yet are exported as 0.
        for code in results.ResultCode:
            self._refusals.labels(str(code.value), code.name)
        for kind, code in FAILURE_CODES.items():
            self._retries.labels(str(code.value), kind.value)
            self._failed_attempts.labels(str(code.value), kind.value)
