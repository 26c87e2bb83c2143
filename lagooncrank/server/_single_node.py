"""Shared state and links of a system with one node."""

from typing import Any

from lagooncrank import model
from lagooncrank.core import state
from lagooncrank.server import _ports


class SingleNodeState:
    """Applies commands at once; nothing survives the process."""

    def __init__(self) -> None:
        self._machine = state.StateMachine()
        self._listeners: list[_ports.AppliedListener] = []

    @property
    def view(self) -> _ports.StateView:
        """State applied at this node."""
        return self._machine

    @property
    def is_leader(self) -> bool:
        """Always true: there is no other node."""
        return True

    def lease_holds(self) -> bool:
        """Returns true: the node is its own quorum."""
        return True

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        """Applies a command and returns its outcome."""
        index = self._machine.applied_index + 1
        outcome = self._machine.apply(index, command)
        for listener in self._listeners:
            listener(command, outcome)
        return outcome

    async def confirm_read(self, timeout_ms: int) -> bool:
        """Returns true: every command was applied here."""
        return True

    def on_applied(self, listener: _ports.AppliedListener) -> None:
        """Registers a listener for applied commands."""
        self._listeners.append(listener)


class NoPeers:
    """Links of a node without peers."""

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        """Drops the message."""

    def on_message(
        self, kind: str, body: type, handler: _ports.PeerHandler
    ) -> None:
        """Ignores the handler: no message will come."""

    def connected(self) -> frozenset[model.NodeId]:
        """Returns no node."""
        return frozenset()
