"""History of requests and runs, checked against the system's guarantees."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

#: Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that a caller sent."""

    attempt_id: str
    #: Whether the request may run more than once.
    is_retry_safe: bool
    #: Address of the entry that it is sent to.
    entry: str = ""
    service: str = ""


class RequestHistory:
    """Records requests, runs and responses; finds violated guarantees.

    A guarantee that concerns a single event is checked when the event is
    recorded, the others in `finish`.
    """

    def __init__(self) -> None:
        #: Descriptions of the violations found so far, oldest first.
        self.violations: list[str] = []
        #: Number of requests by HTTP status.
        self.statuses: collections.Counter[int] = collections.Counter()
        self._requests: dict[str, SentRequest] = {}
        self._runs: dict[str, list[str]] = {}
        self._response_statuses: dict[str, int] = {}

    def record_request(self, request: SentRequest) -> None:
        """Records a request before its caller sends it."""
        self._requests[request.attempt_id] = request

    def record_run(self, attempt_id: str, server_id: str) -> None:
        """Records that a server started to run a request."""
        if attempt_id not in self._requests:
            self.record_violation(
                f"{server_id} ran {attempt_id!r}, which no caller sent"
            )
            return
        self._runs.setdefault(attempt_id, []).append(server_id)

    def record_response(
        self, attempt_id: str, status: int, signing_server: str
    ) -> None:
        """Records a response's status and the server that signed it."""
        self.statuses[status] += 1
        self._response_statuses[attempt_id] = status
        if status != OK:
            return
        runs = self._runs.get(attempt_id, [])
        if signing_server not in runs:
            self.record_violation(
                f"{attempt_id}: successful response signed by "
                f"{signing_server!r}, but the request ran on {runs}"
            )

    def request(self, attempt_id: str) -> SentRequest:
        """Returns a request; one without an entry if no caller sent it."""
        unknown = SentRequest(attempt_id, is_retry_safe=False)
        return self._requests.get(attempt_id, unknown)

    def runs(self, attempt_id: str) -> list[str]:
        """Returns the servers that have started to run a request."""
        return self._runs.get(attempt_id, [])

    def all_runs(self) -> Iterable[tuple[str, list[str]]]:
        """Returns the servers that ran each request."""
        return self._runs.items()

    def record_violation(self, description: str) -> None:
        """Records a violated guarantee."""
        self.violations.append(description)

    def finish(self) -> list[str]:
        """Checks requests that may run once only; returns all violations.

        Call it once, after the last run: until then, another run of a request
        may follow.
        """
        for request in self._requests.values():
            if request.is_retry_safe:
                continue
            runs = self._runs.get(request.attempt_id, [])
            status = self._response_statuses.get(request.attempt_id)
            if len(runs) > 1:
                self.record_violation(
                    f"{request.attempt_id} ran {len(runs)} times"
                )
            if runs and status in NOT_RUN_STATUSES:
                self.record_violation(
                    f"{request.attempt_id} ran although its response had "
                    f"status {status}"
                )
        return self.violations
