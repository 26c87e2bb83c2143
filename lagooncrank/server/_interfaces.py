"""Interfaces between the services of one daemon."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Protocol

from lagooncrank import model
from lagooncrank.core import state

#: Called on the loop after each applied command, in log order.
AppliedListener = Callable[[state.Command, state.Outcome], None]


class StateView(Protocol):
    """Read access to the state that this node has applied."""

    @property
    def applied_index(self) -> int:
        """Index of the last applied log entry."""

    @property
    def configuration(self) -> state.ConfigurationRecord | None:
        """The revision in force here, or None before the first."""

    @property
    def replicas(self) -> dict[model.ReplicaId, model.Replica]:
        """Every replica that is not yet forgotten."""

    @property
    def last_fencing_number(self) -> int:
        """Highest fencing number given to any replica."""

    @property
    def crash_records(self) -> dict[bytes, state.ContentCrashRecord]:
        """Crash marks by content digest."""

    @property
    def drains(self) -> dict[model.InstanceId, state.Drain]:
        """Instances that operators want free of work."""

    @property
    def document(self) -> state.Document | None:
        """The operator's document of the highest version, if any."""

    @property
    def groups(self) -> dict[str, model.Group]:
        """Every group whose members are not free, by name."""

    def call(self, key: state.CallKey) -> state.CallRecord | None:
        """Returns what the ledger holds of a call."""

    def history(self) -> tuple[state.ConfigurationRecord, ...]:
        """Returns the kept revisions, oldest first."""


class SharedState(Protocol):
    """The replicated state as the other services of a daemon use it."""

    @property
    def view(self) -> StateView:
        """State applied at this node; it may lag the leader."""

    @property
    def is_leader(self) -> bool:
        """Whether this node leads and its leader lease holds."""

    @property
    def leader(self) -> model.NodeId | None:
        """The leader as far as this node knows."""

    @property
    def term(self) -> int:
        """The newest term that this node knows of."""

    def lease_holds(self) -> bool:
        """Whether quorum contact is recent enough to take new work."""

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        """Commits a command through the leader and returns its outcome.

        The outcome is returned once this node too has applied the command.
        A code of NO_QUORUM or NOT_LEADER says that the command will not take
        effect; PROPOSAL_LOST says that it still may.
        """

    async def confirm_read(self, timeout_ms: int) -> bool:
        """Waits until `view` holds all that was committed before the call."""

    def on_applied(self, listener: AppliedListener) -> None:
        """Registers a listener for applied commands."""


#: Handler of one kind of peer message: sender, decoded body.
PeerHandler = Callable[[model.NodeId, Any], Awaitable[None] | None]


class PeerLinks(Protocol):
    """Authenticated message links to the other nodes."""

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        """Queues a message; it is dropped when the link is down or full."""

    def on_message(self, kind: str, body: type, handler: PeerHandler) -> None:
        """Registers the handler of one kind of message."""

    def connected(self) -> frozenset[model.NodeId]:
        """Returns the nodes heard from within the silence limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """One line of the answer of `GET /v1/entries`."""

    address: str
    failure_domain_id: model.FailureDomainId
