"""What callers sent, what servers ran, and the promises between them."""

import collections
import dataclasses
from typing import Final

#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request of a caller."""

    attempt_id: str
    #: Whether it may run more than once.
    may_repeat: bool


class Ledger:
    """Collects what was seen and finds broken promises."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.statuses: collections.Counter[int] = collections.Counter()
        self._sent: dict[str, Sent] = {}
        self._runs: dict[str, list[str]] = {}
        self._status: dict[str, int] = {}

    def sent(self, request: Sent) -> None:
        """Takes a request that a caller is about to send."""
        self._sent[request.attempt_id] = request

    def ran(self, attempt_id: str, server_id: str) -> None:
        """Takes a run that a server began."""
        if attempt_id not in self._sent:
            self.problem(f"{server_id} ran {attempt_id!r}, which nobody sent")
            return
        self._runs.setdefault(attempt_id, []).append(server_id)

    def answered(self, attempt_id: str, status: int, signer: str) -> None:
        """Takes the head of an answer and the server that signed it."""
        self.statuses[status] += 1
        self._status[attempt_id] = status
        if status != OK:
            return
        runs = self._runs.get(attempt_id, [])
        if signer not in runs:
            self.problem(f"{attempt_id}: success of {signer!r}, ran {runs}")

    def problem(self, text: str) -> None:
        """Notes a broken promise."""
        self.problems.append(text)

    def close(self) -> list[str]:
        """Checks what can be known at the end only; returns all problems."""
        for request in self._sent.values():
            if request.may_repeat:
                continue
            runs = self._runs.get(request.attempt_id, [])
            status = self._status.get(request.attempt_id)
            if len(runs) > 1:
                self.problem(f"{request.attempt_id} ran {len(runs)} times")
            if runs and status in NOT_RUN_STATUSES:
                self.problem(
                    f"{request.attempt_id} was answered {status} and ran"
                )
        return self.problems
