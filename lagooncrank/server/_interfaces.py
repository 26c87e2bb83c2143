"""Interfaces between the services of one daemon."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Protocol

from lagooncrank import model
from lagooncrank.core import state

#: Called on the event loop after each applied command, in log order.
AppliedListener = Callable[[state.Command, state.Outcome], None]


class StateView(Protocol):
    """Read access to the replicated state as applied at this node."""

    @property
    def applied_index(self) -> int:
        """Index of the last applied log entry."""

    @property
    def configuration(self) -> state.ConfigurationRecord | None:
        """The revision in force at this node, or None before the first."""

    @property
    def replicas(self) -> dict[model.ReplicaId, model.Replica]:
        """Every retained replica, including recently ended ones."""

    @property
    def last_fencing_number(self) -> int:
        """Highest fencing number assigned to any replica."""

    @property
    def crash_records(self) -> dict[bytes, state.ContentCrashRecord]:
        """Crashes counted against request contents, by content digest."""

    @property
    def drains(self) -> dict[model.InstanceId, state.Drain]:
        """Instances that operators drain."""

    @property
    def document(self) -> state.Document | None:
        """The operator's document with the highest version, if any."""

    @property
    def groups(self) -> dict[str, model.Group]:
        """Every group that holds members, by name."""

    @property
    def last_epoch(self) -> int:
        """Epoch of the newest group, also if removed; 0 if there was none."""

    def call(self, key: state.CallKey) -> state.CallRecord | None:
        """Returns the ledger's record of a call, or None."""

    def history(self) -> tuple[state.ConfigurationRecord, ...]:
        """Returns the retained revisions, oldest first."""


class SharedState(Protocol):
    """The replicated state, as used by the other services of a daemon."""

    @property
    def view(self) -> StateView:
        """State applied at this node; it may lag behind the leader."""

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader and its leader lease is valid."""

    @property
    def leader(self) -> model.NodeId | None:
        """The leader that this node knows, if any."""

    @property
    def term(self) -> int:
        """The newest term that this node knows of."""

    def lease_holds(self) -> bool:
        """Whether quorum contact is recent enough to accept new requests."""

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        """Commits a command through the leader and returns its outcome.

        The outcome is returned once this node has applied the command as
        well. A code of NO_QUORUM or NOT_LEADER means that the command will
        not take effect; PROPOSAL_LOST means that it still may.
        """

    async def confirm_read(self, timeout_ms: int) -> bool:
        """Waits until `view` includes all changes committed before the call.

        Returns:
            False if this is not confirmed within the timeout.
        """

    def on_applied(self, listener: AppliedListener) -> None:
        """Registers a listener for applied commands."""


#: Handler of one kind of peer message; receives sender and decoded body.
PeerHandler = Callable[[model.NodeId, Any], Awaitable[None] | None]


class PeerLinks(Protocol):
    """Authenticated message links to the other nodes."""

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        """Queues a message; drops it if the link is down or the queue full."""

    def on_message(self, kind: str, body: type, handler: PeerHandler) -> None:
        """Registers the handler of one kind of message."""

    def connected(self) -> frozenset[model.NodeId]:
        """Returns the nodes that sent a message within the link timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """One entry in the response of `GET /v1/entries`."""

    address: str
    failure_domain_id: model.FailureDomainId
