"""Drives the state machine by the entries of the replicated log."""

from collections.abc import Iterable

from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.server import _interfaces


class Machine:
    """Implements `consensus.Applier` and tells listeners."""

    def __init__(self) -> None:
        #: The state after the last applied entry; always this one object.
        self.view = state.StateMachine()
        #: Called after each applied command.
        self.listeners: list[_interfaces.AppliedListener] = []

    def apply(self, entry: consensus.Entry) -> state.Outcome:
        """Applies the entry after the last applied one."""
        command: state.Command = state.NoOp()
        if entry.data:
            command = state.decode_command(entry.data)
        outcome = self.view.apply(entry.index, command)
        self._tell(command, outcome)
        return outcome

    def snapshot(self) -> bytes:
        """Returns the state after the last applied entry."""
        return self.view.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state by what `snapshot` returned.

        Holders of `view` see the new state. Listeners are told the revision
        in force, as the command that put it there may have been skipped.
        """
        self.view.restore(data)
        record = self.view.configuration
        if record is not None:
            command = state.ApplyDeclarations(
                record.change_id,
                record.revision - 1,
                record.declarations,
                record.author,
                record.wall_ms,
            )
            outcome = state.Outcome(
                results.ResultCode.OK, revision=record.revision
            )
            self._tell(command, outcome)

    def _tell(self, command: state.Command, outcome: state.Outcome) -> None:
        for listener in self.listeners:
            listener(command, outcome)


def check_known(entries: Iterable[consensus.Entry]) -> None:
    """Checks that this version knows every stored command.

    Raises:
        UnknownCommandError: A newer version wrote one of them.
    """
    for entry in entries:
        if entry.data:
            state.decode_command(entry.data)
