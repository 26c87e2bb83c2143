"""Applies entries of the replicated log to the state machine."""

from collections.abc import Iterable

from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.server import _interfaces


class StateApplier:
    """Applies log entries for `consensus` and notifies listeners.

    Implements `consensus.Applier`.
    """

    def __init__(self) -> None:
        #: State after the last applied entry; the object is never replaced.
        self.view = state.StateMachine()
        #: Called after each applied command.
        self.listeners: list[_interfaces.AppliedListener] = []

    def apply(self, entry: consensus.Entry) -> state.Outcome:
        """Applies the entry that follows the last applied one."""
        command: state.Command = state.NoOp()
        if entry.data:
            command = state.decode_command(entry.data)
        outcome = self.view.apply(entry.index, command)
        self._notify(command, outcome)
        return outcome

    def snapshot(self) -> bytes:
        """Returns the state after the last applied entry."""
        return self.view.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state with one that `snapshot` returned.

        `view` remains the same object. Listeners are notified of the revision
        in force, because a snapshot may skip the command that applied it.
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
            self._notify(command, outcome)

    def _notify(self, command: state.Command, outcome: state.Outcome) -> None:
        for listener in self.listeners:
            listener(command, outcome)


def check_commands(entries: Iterable[consensus.Entry]) -> None:
    """Checks that this version can decode every command in the log.

    Raises:
        UnknownCommandError: A newer version wrote one of them.
    """
    for entry in entries:
        if entry.data:
            state.decode_command(entry.data)
