"""Simplified handling of at-most-once calls by an entry node."""

from typing import Any

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import state

SEND_TIMEOUT_MS = 5_000


class OwnedCalls:
    """At-most-once calls owned by one incarnation of a host.

    `host` is a `simulated_cluster.Host`.
    """

    def __init__(self, host: Any) -> None:
        self._host = host
        self._sequence = 0
        #: Proposals that reserve a call.
        self._reserving: dict[consensus.ProposalId, state.ReserveCall] = {}
        #: Proposals that change the declarations.
        self._changing: set[consensus.ProposalId] = set()
        self._send_deadlines_ms: dict[state.CallOwner, int] = {}
        #: Reserved but not yet sent.
        self.reserved: list[state.ReserveCall] = []
        #: Written to a backend server; the end is not yet recorded.
        self.sent: list[state.ReserveCall] = []
        #: Proposals that record the end of a call.
        self._finishing: dict[consensus.ProposalId, state.FinishCall] = {}

    def reserve(self, key: str) -> None:
        """Proposes to reserve a call."""
        self._sequence += 1
        host = self._host
        owner = state.CallOwner(host.node_id, host.incarnation, self._sequence)
        call = state.CallKey(
            model.ClientAccountId("a"), model.ServiceName("s"), key
        )
        command = state.ReserveCall(call, b"d", owner, 1, 10**9)
        self._send_deadlines_ms[owner] = host.now_ms + SEND_TIMEOUT_MS
        self._reserving[host.propose(command)] = command

    def apply_declarations(self, base_revision: int) -> None:
        """Proposes new declarations."""
        self._sequence += 1
        host = self._host
        change_id = f"{host.node_id}-{host.incarnation}-{self._sequence}"
        command = state.ApplyDeclarations(
            change_id, base_revision, model.Declarations(), "", 0
        )
        self._changing.add(host.propose(command))

    def send_oldest(self) -> None:
        """Writes the oldest reserved call to a backend server."""
        if not self.reserved:
            return
        command = self.reserved.pop(0)
        if self._host.now_ms > self._send_deadlines_ms[command.owner]:
            self._abandon(command)
            return
        written_calls = self._host.cluster.written_calls
        written_calls.setdefault(command.call, []).append(command.owner)
        self.sent.append(command)

    def finish_oldest(self, end_state: state.CallState) -> None:
        """Records the end of the oldest written call."""
        if self.sent:
            self._record(self.sent.pop(0), end_state)

    def on_settled(self, settled: consensus.SettledProposal) -> None:
        if settled.proposal in self._changing and settled.outcome is not None:
            cluster = self._host.cluster
            cluster.acknowledged_revision = max(
                cluster.acknowledged_revision, settled.outcome.revision
            )
        finish = self._finishing.pop(settled.proposal, None)
        if finish is not None and settled.outcome is None:
            self._finishing[self._host.propose(finish)] = finish
        command = self._reserving.pop(settled.proposal, None)
        if command is None:
            return
        if settled.code is not results.ResultCode.OK:
            self._abandon(command)
        elif settled.outcome.ok:
            self.reserved.append(command)

    def on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        """Abandons a reservation that committed after it was abandoned."""
        if not isinstance(command, state.ReserveCall) or not outcome.ok:
            return
        host = self._host
        own_incarnation = (host.node_id, host.incarnation)
        if (
            command.owner.node_id,
            command.owner.incarnation,
        ) != own_incarnation:
            return
        if command.owner in host.cluster.reported_not_run:
            self._abandon(command)

    def _abandon(self, command: state.ReserveCall) -> None:
        self._host.cluster.reported_not_run.add(command.owner)
        self._record(command, state.CallState.NOT_RUN)

    def _record(
        self, command: state.ReserveCall, end_state: state.CallState
    ) -> None:
        finish = state.FinishCall(command.call, command.owner, end_state, 1)
        self._finishing[self._host.propose(finish)] = finish
