"""Groups of engines: an engine's start is in one at most."""

from collections.abc import Iterable
import dataclasses

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records


class Groups:
    """Gives out epochs and keeps groups apart."""

    def __init__(
        self,
        groups: Iterable[model.Group] = (),
        last_epoch: int = 0,
        term: int = 0,
    ) -> None:
        self.groups = {group.name: group for group in groups}
        self.last_epoch = last_epoch
        #: Newest term of a leader that changed a group.
        self.term = term

    def form(self, command: _commands.FormGroup) -> _records.Outcome:
        """Creates a group unless one of its members is taken."""
        deposed = self._refuse_deposed(command.term)
        if deposed is not None:
            return deposed
        taken = {m.server_id for g in self.groups.values() for m in g.members}
        for member in command.members:
            if member.server_id in taken:
                return _records.Outcome(
                    results.ResultCode.INSTANCE_TAKEN,
                    f"backend server {member.server_id!r} is in a group",
                )
        self.last_epoch += 1
        group = model.Group(
            f"g{self.last_epoch}",
            self.last_epoch,
            command.service,
            command.model_name,
            command.members,
            model.GroupPhase.FORMING,
        )
        self.groups[group.name] = group
        return _records.Outcome(results.ResultCode.OK, group=group)

    def move(self, command: _commands.SetGroupPhase) -> _records.Outcome:
        """Changes a group's phase, or forgets it."""
        deposed = self._refuse_deposed(command.term)
        if deposed is not None:
            return deposed
        group = self.groups.get(command.name)
        if group is None:
            return _records.Outcome(
                results.ResultCode.WRONG_EPOCH,
                f"group {command.name!r} does not exist",
            )
        if command.phase is None:
            del self.groups[command.name]
            return _records.Outcome(results.ResultCode.OK)
        moved = dataclasses.replace(
            group,
            phase=command.phase,
            waits_for_work=command.waits_for_work,
        )
        self.groups[group.name] = moved
        return _records.Outcome(results.ResultCode.OK, group=moved)

    def release(self, command: _commands.ReleaseMembers) -> _records.Outcome:
        """Frees members other than the head of a dissolving group."""
        deposed = self._refuse_deposed(command.term)
        if deposed is not None:
            return deposed
        group = self.groups.get(command.name)
        if group is None or group.phase is not model.GroupPhase.DISSOLVING:
            return _records.Outcome(
                results.ResultCode.WRONG_EPOCH,
                f"group {command.name!r} is not dissolving",
            )
        kept = (
            group.head,
            *(
                m
                for m in group.members[1:]
                if m.server_id not in command.server_ids
            ),
        )
        left = dataclasses.replace(group, members=kept)
        self.groups[group.name] = left
        return _records.Outcome(results.ResultCode.OK, group=left)

    def _refuse_deposed(self, term: int) -> _records.Outcome | None:
        """Takes a leader's term, or refuses one that is over."""
        if term >= self.term:
            self.term = term
            return None
        return _records.Outcome(
            results.ResultCode.NOT_LEADER,
            f"term {term} is over; a leader of term {self.term} has "
            "decided since",
        )
