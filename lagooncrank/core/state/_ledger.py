"""Ledger of at-most-once calls."""

import collections
from collections.abc import Iterable
import dataclasses
import heapq

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _answer_budget
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _entry_incarnations
from lagooncrank.core.state import _records

#: Maximum records per client account; further reservations are refused.
MAX_RECORDS_PER_ACCOUNT = 20_000
#: How long the record of an abandoned reservation is kept.
TOMBSTONE_RETENTION_MS = 3_600_000

_CallState = _commands.CallState
_Code = results.ResultCode


class CallLedger:
    """Reserves each call for one owner and records its outcome.

    A record leaves RESERVED when its owner reports the outcome or when the
    outcome is looked up at the service. It becomes UNKNOWN when the owner's
    entry has restarted. Only its owner can make it NOT_RUN, since an owner
    that does not respond may merely be paused.
    """

    def __init__(
        self,
        records: Iterable[_records.CallRecord] = (),
        incarnations: Iterable[_records.EntryIncarnation] = (),
    ) -> None:
        self._incarnations = _entry_incarnations.EntryIncarnations(incarnations)
        self._records: dict[_commands.CallKey, _records.CallRecord] = {}
        self._record_counts: collections.Counter[model.ClientAccountId] = (
            collections.Counter()
        )
        self._answer_budget = _answer_budget.AnswerBudget()
        self._expirations: list[tuple[int, _commands.CallKey]] = []
        for record in records:
            self._store(record)

    def find(self, call: _commands.CallKey) -> _records.CallRecord | None:
        """Returns the record of a call, or None."""
        return self._records.get(call)

    def records(self) -> tuple[_records.CallRecord, ...]:
        """Returns every record, in the order of reservation."""
        return tuple(self._records.values())

    def entry_incarnations(self) -> tuple[_records.EntryIncarnation, ...]:
        """Returns the newest known incarnation of each entry."""
        return self._incarnations.records()

    def record_entry_incarnation(
        self, command: _commands.RecordEntryIncarnation
    ) -> _records.Outcome:
        """Records an entry's incarnation and evicts expired calls."""
        self._incarnations.record_incarnation(
            command.node_id, command.incarnation
        )
        now_ms = self._incarnations.record_time(
            command.node_id, command.wall_ms
        )
        for record in tuple(self._records.values()):
            is_reserved = record.state is _CallState.RESERVED
            if is_reserved and self._incarnations.is_superseded(record.owner):
                self._end_call(record, _CallState.UNKNOWN, now_ms, None)
        self._evict_expired(now_ms)
        return _records.Outcome(_Code.OK)

    def reserve(self, command: _commands.ReserveCall) -> _records.Outcome:
        """Reserves a call that no other owner holds and that has not run."""
        owner = command.owner
        now_ms = self._incarnations.record_time(owner.node_id, command.wall_ms)
        self._evict_expired(now_ms)
        record = self._records.get(command.call)
        if self._incarnations.is_superseded(owner):
            return _records.Outcome(
                _Code.SEND_WINDOW_PASSED,
                f"entry {owner.node_id!r} has restarted since",
                call=record,
            )
        if record is not None:
            refusal = _refuse_reservation(command, record)
            if refusal is not None:
                return refusal
        elif (
            self._record_counts[command.call.account] >= MAX_RECORDS_PER_ACCOUNT
        ):
            return _records.Outcome(
                _Code.LEDGER_FULL,
                f"client account {command.call.account!r} has "
                f"{MAX_RECORDS_PER_ACCOUNT} recorded calls; wait until "
                "earlier ones expire",
            )
        return self._store(_new_reservation(command))

    def finish(self, command: _commands.FinishCall) -> _records.Outcome:
        """Records the outcome that the owner of a call reports."""
        self._incarnations.record_time(command.owner.node_id, command.wall_ms)
        record = self._records.get(command.call)
        if record is None:
            return self._finish_unreserved(command)
        if record.owner != command.owner:
            return _records.Outcome(
                _Code.NOT_THE_OWNER,
                f"call {command.call.key!r} is owned by {record.owner}",
                call=record,
            )
        if not _is_valid_transition(record.state, command.state):
            return _records.Outcome(
                _Code.CALL_ALREADY_FINISHED,
                f"call {command.call.key!r} is already {record.state}",
                call=record,
            )
        return self._end_call(
            record, command.state, command.wall_ms, command.answer
        )

    def resolve(self, command: _commands.ResolveCall) -> _records.Outcome:
        """Records an outcome that was looked up at the service."""
        record = self._records.get(command.call)
        if record is None or record.state is _CallState.NOT_RUN:
            return _records.Outcome(
                _Code.UNKNOWN_RESOURCE,
                f"no call {command.call.key!r} is waiting for an outcome",
            )
        if record.state is _CallState.FINISHED:
            return _records.Outcome(_Code.CALL_ALREADY_FINISHED, call=record)
        return self._end_call(
            record, command.state, command.wall_ms, command.answer
        )

    def _finish_unreserved(
        self, command: _commands.FinishCall
    ) -> _records.Outcome:
        if command.state is not _CallState.NOT_RUN:
            return _records.Outcome(
                _Code.NOT_THE_OWNER, f"call {command.call.key!r} is unknown"
            )
        # The owner abandoned a reservation that may still commit after this
        # command; this record makes the ledger refuse it.
        return self._store(
            _records.CallRecord(
                call=command.call,
                body_digest=b"",
                owner=command.owner,
                state=_CallState.NOT_RUN,
                reserved_wall_ms=command.wall_ms,
                forget_wall_ms=self._not_before_ledger_time(command.wall_ms)
                + TOMBSTONE_RETENTION_MS,
            )
        )

    def _end_call(
        self,
        record: _records.CallRecord,
        state: _CallState,
        wall_ms: int,
        answer: _commands.StoredAnswer | None,
    ) -> _records.Outcome:
        forget_wall_ms = 0
        if state is not _CallState.UNKNOWN:
            forget_wall_ms = (
                self._not_before_ledger_time(wall_ms) + record.retention_ms
            )
        return self._store(
            dataclasses.replace(
                record,
                state=state,
                forget_wall_ms=forget_wall_ms,
                answer=answer,
            )
        )

    def _not_before_ledger_time(self, wall_ms: int) -> int:
        """Returns the later of `wall_ms` and the ledger time."""
        return max(wall_ms, self._incarnations.ledger_time_ms)

    def _store(self, record: _records.CallRecord) -> _records.Outcome:
        previous = self._records.get(record.call)
        if previous is None:
            self._record_counts[record.call.account] += 1
        else:
            self._answer_budget.remove(previous)
        self._records[record.call] = record
        self._answer_budget.add(record)
        if record.forget_wall_ms:
            expiration = (record.forget_wall_ms, record.call)
            heapq.heappush(self._expirations, expiration)
        self._evict_answers(record.call.account)
        return _records.Outcome(_Code.OK, call=record)

    def _evict_answers(self, account: model.ClientAccountId) -> None:
        while (
            candidate := self._answer_budget.pop_next_to_evict(account)
        ) is not None:
            forget_wall_ms, call = candidate
            record = self._records.get(call)
            if record is None or record.forget_wall_ms != forget_wall_ms:
                continue
            self._answer_budget.remove(record)
            self._records[call] = dataclasses.replace(record, answer=None)

    def _evict_expired(self, now_ms: int) -> None:
        while self._expirations and self._expirations[0][0] <= now_ms:
            _, call = heapq.heappop(self._expirations)
            record = self._records.get(call)
            if record is None or not 0 < record.forget_wall_ms <= now_ms:
                continue
            del self._records[call]
            self._record_counts[call.account] -= 1
            self._answer_budget.remove(record)


def _refuse_reservation(
    command: _commands.ReserveCall, record: _records.CallRecord
) -> _records.Outcome | None:
    key = command.call.key
    if record.state is _CallState.NOT_RUN:
        if record.owner == command.owner:
            return _records.Outcome(
                _Code.SEND_WINDOW_PASSED,
                f"the owner abandoned call {key!r} before it was reserved",
                call=record,
            )
        return None
    if record.body_digest != command.body_digest:
        return _records.Outcome(
            _Code.KEY_REUSED,
            f"key {key!r} was used with another body; use a new key",
        )
    if record.state is _CallState.RESERVED and record.owner == command.owner:
        return None
    codes = {
        _CallState.RESERVED: _Code.CALL_IN_PROGRESS,
        _CallState.FINISHED: _Code.CALL_ALREADY_FINISHED,
        _CallState.UNKNOWN: _Code.OUTCOME_UNKNOWN,
    }
    reason = f"call {key!r} is {record.state}"
    return _records.Outcome(codes[record.state], reason, call=record)


def _new_reservation(command: _commands.ReserveCall) -> _records.CallRecord:
    return _records.CallRecord(
        call=command.call,
        body_digest=command.body_digest,
        owner=command.owner,
        state=_CallState.RESERVED,
        reserved_wall_ms=command.wall_ms,
        retention_ms=command.retention_ms,
    )


def _is_valid_transition(before: _CallState, after: _CallState) -> bool:
    if before is _CallState.RESERVED or before is after:
        return True
    # The owner may receive the answer after the call was declared UNKNOWN.
    return before is _CallState.UNKNOWN and after is _CallState.FINISHED
