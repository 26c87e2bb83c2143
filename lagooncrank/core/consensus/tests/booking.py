"""What an entry does with calls that may not be repeated, reduced to steps."""

from typing import Any

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core import state

SEND_WINDOW_MS = 5_000


class Calls:
    """Calls that one start of a host owns.

    `host` is a `world.Host`.
    """

    def __init__(self, host: Any) -> None:
        self._host = host
        self._sequence = 0
        self._reserving: dict[consensus.ProposalId, state.ReserveCall] = {}
        self._changing: set[consensus.ProposalId] = set()
        self._send_by_ms: dict[state.CallOwner, int] = {}
        #: Reserved and not yet sent.
        self.ready: list[state.ReserveCall] = []
        #: Written to a backend server, end not yet recorded.
        self.sent: list[state.ReserveCall] = []
        #: Ends that are not yet recorded.
        self._ending: dict[consensus.ProposalId, state.FinishCall] = {}

    def book(self, key: str) -> None:
        """Asks to reserve a call."""
        self._sequence += 1
        host = self._host
        owner = state.CallOwner(host.node_id, host.incarnation, self._sequence)
        call = state.CallKey(
            model.ClientAccountId("a"), model.ServiceName("s"), key
        )
        command = state.ReserveCall(call, b"d", owner, 1, 10**9)
        self._send_by_ms[owner] = host.now_ms + SEND_WINDOW_MS
        self._reserving[host.propose(command)] = command

    def change(self, base_revision: int) -> None:
        """Proposes new declarations."""
        self._sequence += 1
        host = self._host
        change_id = f"{host.node_id}-{host.incarnation}-{self._sequence}"
        command = state.ApplyDeclarations(
            change_id, base_revision, model.Declarations(), "", 0
        )
        self._changing.add(host.propose(command))

    def write(self) -> None:
        """Writes the oldest reserved call to a backend server."""
        if not self.ready:
            return
        command = self.ready.pop(0)
        if self._host.now_ms > self._send_by_ms[command.owner]:
            self._give_up(command)
            return
        sent = self._host.world.sent
        sent.setdefault(command.call, []).append(command.owner)
        self.sent.append(command)

    def end(self, end_state: state.CallState) -> None:
        """Records the end of the oldest written call."""
        if self.sent:
            self._record(self.sent.pop(0), end_state)

    def on_settled(self, settled: consensus.SettledProposal) -> None:
        if settled.proposal in self._changing and settled.outcome is not None:
            world = self._host.world
            world.acknowledged_revision = max(
                world.acknowledged_revision, settled.outcome.revision
            )
        ending = self._ending.pop(settled.proposal, None)
        if ending is not None and settled.outcome is None:
            self._ending[self._host.propose(ending)] = ending
        command = self._reserving.pop(settled.proposal, None)
        if command is None:
            return
        if settled.code is not results.ResultCode.OK:
            self._give_up(command)
        elif settled.outcome.ok:
            self.ready.append(command)

    def on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        """Gives up a reservation that committed after it was given up."""
        if not isinstance(command, state.ReserveCall) or not outcome.ok:
            return
        host = self._host
        own = (host.node_id, host.incarnation)
        if (command.owner.node_id, command.owner.incarnation) != own:
            return
        if command.owner in host.world.told_not_run:
            self._give_up(command)

    def _give_up(self, command: state.ReserveCall) -> None:
        self._host.world.told_not_run.add(command.owner)
        self._record(command, state.CallState.NOT_RUN)

    def _record(
        self, command: state.ReserveCall, end_state: state.CallState
    ) -> None:
        finish = state.FinishCall(command.call, command.owner, end_state, 1)
        self._ending[self._host.propose(finish)] = finish
