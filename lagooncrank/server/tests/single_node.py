"""Shared state and links of a system with a single node."""

from typing import Any

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.server import _interfaces
from lagooncrank.server import _state_applier


class SingleNodeState:
    """Shared state that applies commands at once and stores nothing."""

    leader = model.NodeId("n1")
    term = 1

    def __init__(self) -> None:
        self._machine = _state_applier.StateApplier()
        self.has_quorum = True

    @property
    def view(self) -> _interfaces.StateView:
        """State applied at this node."""
        return self._machine.view

    @property
    def is_leader(self) -> bool:
        """Always true: there is no other node."""
        return True

    def lease_holds(self) -> bool:
        """Returns `has_quorum`, which tests may clear."""
        return self.has_quorum

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        """Applies a command and returns its outcome."""
        index = self._machine.view.applied_index + 1
        data = state.encode_command(command)
        return self._machine.apply(consensus.Entry(index, 1, data))

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes."""
        return self._machine.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot, as on a node that lagged."""
        self._machine.restore(data)

    async def confirm_read(self, timeout_ms: int) -> bool:
        """Returns true: every command is applied at once."""
        return True

    def on_applied(self, listener: _interfaces.AppliedListener) -> None:
        """Registers a listener for applied commands."""
        self._machine.listeners.append(listener)


class NoPeers:
    """Peer links of a node without peers."""

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        """Drops the message."""

    def on_message(
        self, kind: str, body: type, handler: _interfaces.PeerHandler
    ) -> None:
        """Ignores the handler: no message arrives."""

    def connected(self) -> frozenset[model.NodeId]:
        """Returns no node."""
        return frozenset()
