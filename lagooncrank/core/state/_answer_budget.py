"""Limit on the bytes of stored answers."""

import heapq
from typing import Final

from lagooncrank import model
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Maximum bytes of stored answers per client account.
MAX_ANSWER_BYTES_PER_ACCOUNT: Final = 1_048_576


class AnswerBudget:
    """Chooses the stored answers to evict when an account exceeds its limit.

    Answers are evicted in the order in which their records expire. This order
    is the same on a node restored from a snapshot and on a node that applied
    the whole log, so both evict the same answers.
    """

    def __init__(self) -> None:
        self._bytes: dict[model.ClientAccountId, int] = {}
        self._eviction_queues: dict[
            model.ClientAccountId, list[tuple[int, _commands.CallKey]]
        ] = {}

    def add(self, record: _records.CallRecord) -> None:
        """Starts counting the answer of a record."""
        if record.answer is None:
            return
        account = record.call.account
        self._bytes[account] = self._bytes.get(account, 0) + len(
            record.answer.body
        )
        queue = self._eviction_queues.setdefault(account, [])
        heapq.heappush(queue, (record.forget_wall_ms, record.call))

    def remove(self, record: _records.CallRecord) -> None:
        """Stops counting the answer of a record."""
        if record.answer is not None:
            self._bytes[record.call.account] -= len(record.answer.body)

    def pop_next_to_evict(
        self, account: model.ClientAccountId
    ) -> tuple[int, _commands.CallKey] | None:
        """Removes and returns the next candidate for eviction of an account.

        Returns:
            None when the account is within its limit. Otherwise the expiry
            time of the record and its call: the caller evicts the answer,
            unless the record has changed since, and calls again.
        """
        if self._bytes.get(account, 0) <= MAX_ANSWER_BYTES_PER_ACCOUNT:
            return None
        return heapq.heappop(self._eviction_queues[account])
