"""Drives the state machine by the entries of the replicated log."""

from collections.abc import Iterable

from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.server import _ports


class Machine:
    """Implements `consensus.Applier` and tells listeners."""

    def __init__(self) -> None:
        #: The state after the last applied entry.
        self.view = state.StateMachine()
        #: Called after each applied command.
        self.listeners: list[_ports.AppliedListener] = []

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
        """Replaces the state by what `snapshot` returned."""
        self.view = state.StateMachine.from_snapshot(data)
        self._tell(state.NoOp(), state.Outcome(results.ResultCode.OK))

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
