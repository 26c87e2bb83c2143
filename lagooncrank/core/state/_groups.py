"""Groups of engines; an engine belongs to at most one."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records

#: Maximum number of engines whose newest known report is retained.
MAX_REPORTED: Final = 4_096


class Groups:
    """Assigns epochs to groups and keeps their members disjoint."""

    def __init__(
        self,
        groups: Iterable[model.Group] = (),
        last_epoch: int = 0,
        term: int = 0,
        reported: Iterable[model.GroupMember] = (),
    ) -> None:
        self.groups = {group.name: group for group in groups}
        self.last_epoch = last_epoch
        #: Highest term of a leader that changed a group.
        self.term = term
        #: Newest report of each engine that a group was based on, also after
        #: the group's end.
        self._reported = {member.server_id: member for member in reported}

    @property
    def reported(self) -> tuple[model.GroupMember, ...]:
        """Newest report of each engine that a group was based on."""
        return tuple(self._reported.values())

    def form(self, command: _commands.FormGroup) -> _records.Outcome:
        """Creates a group unless one of its members is in another group."""
        refusal = self._check_term(command.term)
        if refusal is not None:
            return refusal
        taken = {m.server_id for g in self.groups.values() for m in g.members}
        for member in command.members:
            if member.server_id in taken:
                return _records.Outcome(
                    results.ResultCode.INSTANCE_TAKEN,
                    f"backend server {member.server_id!r} is in another group",
                )
            if self._is_outdated(member):
                return _records.Outcome(
                    results.ResultCode.WRONG_EPOCH,
                    f"the report of backend server {member.server_id!r} is "
                    "older than one of its last group",
                )
        self.last_epoch += 1
        group = model.Group(
            f"g{self.last_epoch}",
            self.last_epoch,
            command.service,
            command.model_name,
            command.members,
            model.GroupPhase.FORMING,
            is_preload=command.is_preload,
        )
        self.groups[group.name] = group
        self._record_reports(group.members)
        return _records.Outcome(results.ResultCode.OK, group=group)

    def set_phase(self, command: _commands.SetGroupPhase) -> _records.Outcome:
        """Sets a group's phase, or removes the group."""
        refusal = self._check_term(command.term)
        if refusal is not None:
            return refusal
        group = self.groups.get(command.name)
        if group is None:
            return _records.Outcome(
                results.ResultCode.WRONG_EPOCH,
                f"group {command.name!r} does not exist",
            )
        if command.from_phase not in (None, group.phase):
            return _records.Outcome(
                results.ResultCode.WRONG_EPOCH,
                f"group {command.name!r} is {group.phase}, the change was "
                f"decided while it was {command.from_phase}",
            )
        if command.phase is None:
            del self.groups[command.name]
            return _records.Outcome(results.ResultCode.OK)
        changed = dataclasses.replace(
            group,
            phase=command.phase,
            waits_for_work=command.waits_for_work,
            members=_with_ready_sequences(
                group.members, command.ready_sequences
            ),
        )
        self.groups[group.name] = changed
        self._record_reports(changed.members)
        return _records.Outcome(results.ResultCode.OK, group=changed)

    def release_members(
        self, command: _commands.ReleaseMembers
    ) -> _records.Outcome:
        """Frees members of a dissolving group, except its head."""
        refusal = self._check_term(command.term)
        if refusal is not None:
            return refusal
        group = self.groups.get(command.name)
        if group is None or group.phase is not model.GroupPhase.DISSOLVING:
            return _records.Outcome(
                results.ResultCode.WRONG_EPOCH,
                f"group {command.name!r} is not dissolving",
            )
        members = (
            group.head,
            *(
                m
                for m in group.members[1:]
                if m.server_id not in command.server_ids
            ),
        )
        remaining = dataclasses.replace(group, members=members)
        self.groups[group.name] = remaining
        return _records.Outcome(results.ResultCode.OK, group=remaining)

    def _is_outdated(self, member: model.GroupMember) -> bool:
        """Returns whether a member was chosen on a report that is too old.

        Its group may be gone from the state while its head is still open.
        Older versions name no report.
        """
        known = self._reported.get(member.server_id)
        if known is None or not member.report_sequence:
            return False
        version = (member.born_ms, member.report_sequence)
        return version < (known.born_ms, known.report_sequence)

    def _record_reports(self, members: Iterable[model.GroupMember]) -> None:
        for member in members:
            self._reported.pop(member.server_id, None)
            self._reported[member.server_id] = member
        while len(self._reported) > MAX_REPORTED:
            del self._reported[next(iter(self._reported))]

    def _check_term(self, term: int) -> _records.Outcome | None:
        """Records a leader's term, or refuses a stale one."""
        if term >= self.term:
            self.term = term
            return None
        return _records.Outcome(
            results.ResultCode.NOT_LEADER,
            f"term {term} is stale; a leader of term {self.term} has "
            "changed a group since",
        )


def _with_ready_sequences(
    members: tuple[model.GroupMember, ...], sequences: tuple[int, ...]
) -> tuple[model.GroupMember, ...]:
    if len(sequences) != len(members):
        return members
    return tuple(
        dataclasses.replace(member, report_sequence=sequence)
        for member, sequence in zip(members, sequences, strict=True)
    )
