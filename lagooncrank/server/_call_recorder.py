"""Makes sure that the end of every reserved call reaches the ledger."""

import asyncio
import dataclasses
import itertools
from typing import Final

import logbook
import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import state
from lagooncrank.server import _interfaces

PROPOSE_TIMEOUT_MS: Final = 3_000
RETRY_S: Final = 0.5
#: How often an entry tells the ledger its clock.
NOTE_INTERVAL_S: Final = 600.0

#: Codes after which proposing the same end again changes nothing.
_SETTLED = frozenset(
    {
        results.ResultCode.OK,
        results.ResultCode.NOT_THE_OWNER,
        results.ResultCode.CALL_ALREADY_FINISHED,
        results.ResultCode.UNKNOWN_RESOURCE,
    }
)

_log = logbook.Logger(__name__)


class CallRecorder(mode.Service):
    """Reserves calls for this start of the entry and records their end.

    A reservation whose fate is not known is given up: it is never sent, and
    is recorded as not run, also if it commits later.
    """

    def __init__(
        self,
        node_id: model.NodeId,
        incarnation: int,
        shared: _interfaces.SharedState,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._node_id = node_id
        self._incarnation = incarnation
        self._shared = shared
        self._clock = clock
        self._sequences = itertools.count(1)
        #: Reservations that may still be sent.
        self._held: set[state.CallOwner] = set()
        self._unrecorded: asyncio.Queue[state.FinishCall] = asyncio.Queue()
        shared.on_applied(self._on_applied)

    async def on_stop(self) -> None:
        """Tries once more to record what is not yet recorded."""
        while not self._unrecorded.empty():
            command = self._unrecorded.get_nowait()
            await self._shared.propose(command, PROPOSE_TIMEOUT_MS)

    def new_owner(self) -> state.CallOwner:
        """Returns the owner for one reservation."""
        owner = state.CallOwner(
            self._node_id, self._incarnation, next(self._sequences)
        )
        self._held.add(owner)
        return owner

    async def reserve(self, command: state.ReserveCall) -> state.Outcome:
        """Proposes a reservation; gives it up when its fate is not known."""
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if not outcome.ok:
            self._held.discard(command.owner)
        if outcome.code is results.ResultCode.PROPOSAL_LOST:
            self._record_later(self._not_run(command))
        return outcome

    async def finish(
        self,
        call: state.CallKey,
        owner: state.CallOwner,
        call_state: state.CallState,
        answer: state.StoredAnswer | None = None,
    ) -> state.Outcome:
        """Records how a call ended, later if the quorum is gone now."""
        self._held.discard(owner)
        command = state.FinishCall(
            call, owner, call_state, self._clock.wall_ms(), answer
        )
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if outcome.code not in _SETTLED:
            self._record_later(command)
        return outcome

    async def resolve(
        self, call: state.CallKey, answer: state.StoredAnswer | None
    ) -> state.Outcome:
        """Records an outcome that the service told."""
        command = state.ResolveCall(
            call, state.CallState.FINISHED, self._clock.wall_ms(), answer
        )
        return await self._shared.propose(command, PROPOSE_TIMEOUT_MS)

    @mode.Service.task
    async def _note_regularly(self) -> None:
        """Tells the ledger of this start, and from time to time the clock."""
        while not self.should_stop:
            note = state.RecordEntryIncarnation(
                self._node_id, self._incarnation, self._clock.wall_ms()
            )
            outcome = await self._shared.propose(note, PROPOSE_TIMEOUT_MS)
            await self.sleep(NOTE_INTERVAL_S if outcome.ok else RETRY_S)

    @mode.Service.task
    async def _record_unrecorded(self) -> None:
        while not self.should_stop:
            command = await self._unrecorded.get()
            now = dataclasses.replace(command, wall_ms=self._clock.wall_ms())
            outcome = await self._shared.propose(now, PROPOSE_TIMEOUT_MS)
            if outcome.code not in _SETTLED:
                self._record_later(command)
                await self.sleep(RETRY_S)

    def _on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        """Gives up a reservation that committed after it was given up."""
        if not isinstance(command, state.ReserveCall) or not outcome.ok:
            return
        owner = command.owner
        own_start = (self._node_id, self._incarnation)
        if (owner.node_id, owner.incarnation) != own_start:
            return
        if owner not in self._held:
            self._record_later(self._not_run(command))

    def _record_later(self, command: state.FinishCall) -> None:
        _log.info(
            "end of call to be recorded",
            extra={"call": command.call.key, "state": command.state},
        )
        self._unrecorded.put_nowait(command)

    def _not_run(self, command: state.ReserveCall) -> state.FinishCall:
        return state.FinishCall(
            command.call,
            command.owner,
            state.CallState.NOT_RUN,
            self._clock.wall_ms(),
        )
