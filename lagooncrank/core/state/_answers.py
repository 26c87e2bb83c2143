"""Bounds the bytes of stored answers."""

import heapq
from typing import Final

from lagooncrank import model
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Bytes of stored answers kept for one client account.
MAX_ANSWER_BYTES_PER_ACCOUNT: Final = 1_048_576


class AnswerBudget:
    """Chooses which stored answers of an account must be dropped.

    Those that would be forgotten first go first, so nodes that restored a
    snapshot choose as those that did not.
    """

    def __init__(self) -> None:
        self._bytes: dict[model.ClientAccountId, int] = {}
        self._queues: dict[
            model.ClientAccountId, list[tuple[int, _commands.CallKey]]
        ] = {}

    def added(self, record: _records.CallRecord) -> None:
        """Counts the answer of a record."""
        if record.answer is None:
            return
        account = record.call.account
        self._bytes[account] = self._bytes.get(account, 0) + len(
            record.answer.body
        )
        queue = self._queues.setdefault(account, [])
        heapq.heappush(queue, (record.forget_wall_ms, record.call))

    def removed(self, record: _records.CallRecord) -> None:
        """Stops counting the answer of a record."""
        if record.answer is not None:
            self._bytes[record.call.account] -= len(record.answer.body)

    def next_to_drop(
        self, account: model.ClientAccountId
    ) -> tuple[int, _commands.CallKey] | None:
        """Returns when an answer would be forgotten, and its call.

        Returns:
            None when the account is within its bound. Otherwise the caller
            drops the answer, if that call still holds it, and asks again.
        """
        if self._bytes.get(account, 0) <= MAX_ANSWER_BYTES_PER_ACCOUNT:
            return None
        return heapq.heappop(self._queues[account])
