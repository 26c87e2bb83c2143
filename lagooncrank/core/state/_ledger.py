"""Ledger of calls that may not be repeated."""

import collections
from collections.abc import Iterable
import dataclasses
import heapq

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _answers
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _entry_notes
from lagooncrank.core.state import _records

#: Records kept for one client account; further reservations are refused.
MAX_RECORDS_PER_ACCOUNT = 20_000
#: How long a record without a reservation is kept, in milliseconds.
TOMBSTONE_RETENTION_MS = 3_600_000

_CallState = _commands.CallState
_Code = results.ResultCode


class CallLedger:
    """Lets each call be reserved by one owner and remembers how it ended.

    A record leaves RESERVED by the word of its owner, or by an outcome looked
    up at the service. Nothing but the owner's word makes it NOT_RUN, since an
    owner that is not heard may only be paused.
    """

    def __init__(
        self,
        records: Iterable[_records.CallRecord] = (),
        notes: Iterable[_records.EntryIncarnation] = (),
    ) -> None:
        self._entries = _entry_notes.EntryNotes(notes)
        self._records: dict[_commands.CallKey, _records.CallRecord] = {}
        self._counts: collections.Counter[model.ClientAccountId] = (
            collections.Counter()
        )
        self._answers = _answers.AnswerBudget()
        self._ending: list[tuple[int, _commands.CallKey]] = []
        for record in records:
            self._put(record)

    def find(self, call: _commands.CallKey) -> _records.CallRecord | None:
        """Returns the record of a call."""
        return self._records.get(call)

    def records(self) -> tuple[_records.CallRecord, ...]:
        """Returns every record, in the order of reservation."""
        return tuple(self._records.values())

    def entry_notes(self) -> tuple[_records.EntryIncarnation, ...]:
        """Returns what is known of the entries."""
        return self._entries.notes()

    def note_entry(
        self, command: _commands.RecordEntryIncarnation
    ) -> _records.Outcome:
        """Takes an entry's start and clock, and forgets what ended."""
        self._entries.note_start(command.node_id, command.incarnation)
        now_ms = self._entries.note_time(command.node_id, command.wall_ms)
        for record in tuple(self._records.values()):
            reserved = record.state is _CallState.RESERVED
            if reserved and self._entries.is_over(record.owner):
                self._end(record, _CallState.UNKNOWN, now_ms, None)
        self._forget_ended(now_ms)
        return _records.Outcome(_Code.OK)

    def reserve(self, command: _commands.ReserveCall) -> _records.Outcome:
        """Reserves a call that no other owner holds and that did not run."""
        owner = command.owner
        now_ms = self._entries.note_time(owner.node_id, command.wall_ms)
        self._forget_ended(now_ms)
        record = self._records.get(command.call)
        if self._entries.is_over(owner):
            return _records.Outcome(
                _Code.SEND_WINDOW_PASSED,
                f"entry {owner.node_id!r} started again since",
                call=record,
            )
        if record is not None:
            refusal = _refuse_reservation(command, record)
            if refusal is not None:
                return refusal
        elif self._counts[command.call.account] >= MAX_RECORDS_PER_ACCOUNT:
            return _records.Outcome(
                _Code.LEDGER_FULL,
                f"client account {command.call.account!r} has "
                f"{MAX_RECORDS_PER_ACCOUNT} calls on record; wait until "
                "earlier ones are forgotten",
            )
        return self._put(_reserved(command))

    def finish(self, command: _commands.FinishCall) -> _records.Outcome:
        """Records how a call ended, on its owner's word."""
        self._entries.note_time(command.owner.node_id, command.wall_ms)
        record = self._records.get(command.call)
        if record is None:
            return self._finish_unreserved(command)
        if record.owner != command.owner:
            return _records.Outcome(
                _Code.NOT_THE_OWNER,
                f"call {command.call.key!r} is owned by {record.owner}",
                call=record,
            )
        if not _may_become(record.state, command.state):
            return _records.Outcome(
                _Code.CALL_ALREADY_FINISHED,
                f"call {command.call.key!r} is {record.state} already",
                call=record,
            )
        return self._end(record, command.state, command.wall_ms, command.answer)

    def resolve(self, command: _commands.ResolveCall) -> _records.Outcome:
        """Records an outcome that the service told when asked."""
        record = self._records.get(command.call)
        if record is None or record.state is _CallState.NOT_RUN:
            return _records.Outcome(
                _Code.UNKNOWN_RESOURCE,
                f"no call {command.call.key!r} waits for an outcome",
            )
        if record.state is _CallState.FINISHED:
            return _records.Outcome(_Code.CALL_ALREADY_FINISHED, call=record)
        return self._end(record, command.state, command.wall_ms, command.answer)

    def _finish_unreserved(
        self, command: _commands.FinishCall
    ) -> _records.Outcome:
        if command.state is not _CallState.NOT_RUN:
            return _records.Outcome(
                _Code.NOT_THE_OWNER, f"call {command.call.key!r} is unknown"
            )
        # The owner gave up a reservation that may commit after this: the
        # record left here refuses it.
        return self._put(
            _records.CallRecord(
                call=command.call,
                body_digest=b"",
                owner=command.owner,
                state=_CallState.NOT_RUN,
                reserved_wall_ms=command.wall_ms,
                forget_wall_ms=self._later(command.wall_ms)
                + TOMBSTONE_RETENTION_MS,
            )
        )

    def _end(
        self,
        record: _records.CallRecord,
        state: _CallState,
        wall_ms: int,
        answer: _commands.StoredAnswer | None,
    ) -> _records.Outcome:
        forget_wall_ms = 0
        if state is not _CallState.UNKNOWN:
            forget_wall_ms = self._later(wall_ms) + record.retention_ms
        return self._put(
            dataclasses.replace(
                record,
                state=state,
                forget_wall_ms=forget_wall_ms,
                answer=answer,
            )
        )

    def _later(self, wall_ms: int) -> int:
        """Returns a time that is not behind the ledger's."""
        return max(wall_ms, self._entries.now_ms)

    def _put(self, record: _records.CallRecord) -> _records.Outcome:
        before = self._records.get(record.call)
        if before is None:
            self._counts[record.call.account] += 1
        else:
            self._answers.removed(before)
        self._records[record.call] = record
        self._answers.added(record)
        if record.forget_wall_ms:
            entry = (record.forget_wall_ms, record.call)
            heapq.heappush(self._ending, entry)
        self._drop_answers(record.call.account)
        return _records.Outcome(_Code.OK, call=record)

    def _drop_answers(self, account: model.ClientAccountId) -> None:
        while (chosen := self._answers.next_to_drop(account)) is not None:
            forget_wall_ms, call = chosen
            record = self._records.get(call)
            if record is None or record.forget_wall_ms != forget_wall_ms:
                continue
            self._answers.removed(record)
            self._records[call] = dataclasses.replace(record, answer=None)

    def _forget_ended(self, now_ms: int) -> None:
        while self._ending and self._ending[0][0] <= now_ms:
            _, call = heapq.heappop(self._ending)
            record = self._records.get(call)
            if record is None or not 0 < record.forget_wall_ms <= now_ms:
                continue
            del self._records[call]
            self._counts[call.account] -= 1
            self._answers.removed(record)


def _refuse_reservation(
    command: _commands.ReserveCall, record: _records.CallRecord
) -> _records.Outcome | None:
    key = command.call.key
    if record.state is _CallState.NOT_RUN:
        if record.owner == command.owner:
            return _records.Outcome(
                _Code.SEND_WINDOW_PASSED,
                f"the owner gave up call {key!r} before it was reserved",
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


def _reserved(command: _commands.ReserveCall) -> _records.CallRecord:
    return _records.CallRecord(
        call=command.call,
        body_digest=command.body_digest,
        owner=command.owner,
        state=_CallState.RESERVED,
        reserved_wall_ms=command.wall_ms,
        retention_ms=command.retention_ms,
    )


def _may_become(before: _CallState, after: _CallState) -> bool:
    if before is _CallState.RESERVED or before is after:
        return True
    # The owner's answer may come after the call was given up as unknown.
    return before is _CallState.UNKNOWN and after is _CallState.FINISHED
