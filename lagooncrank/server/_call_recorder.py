"""Ensures that the end of every reserved call is recorded in the ledger."""

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
RETRY_INTERVAL_S: Final = 0.5
#: Interval at which an entry records its clock reading in the ledger.
INCARNATION_INTERVAL_S: Final = 600.0

#: Codes after which there is no use in proposing the same end again.
_FINAL_CODES = frozenset(
    {
        results.ResultCode.OK,
        results.ResultCode.NOT_THE_OWNER,
        results.ResultCode.CALL_ALREADY_FINISHED,
        results.ResultCode.UNKNOWN_RESOURCE,
    }
)

_log = logbook.Logger(__name__)


class CallRecorder(mode.Service):
    """Reserves calls for one incarnation of the entry and records their end.

    A reservation whose outcome is unknown is abandoned: its call is never
    sent and is recorded as not run, even if the reservation commits later.
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
        #: Owners of reservations whose calls may still be sent.
        self._active_owners: set[state.CallOwner] = set()
        self._unrecorded: asyncio.Queue[state.FinishCall] = asyncio.Queue()
        shared.on_applied(self._on_applied)

    async def on_stop(self) -> None:
        """Proposes each end that is not recorded yet one last time."""
        while not self._unrecorded.empty():
            command = self._unrecorded.get_nowait()
            await self._shared.propose(command, PROPOSE_TIMEOUT_MS)

    def new_owner(self) -> state.CallOwner:
        """Returns the owner for one reservation."""
        owner = state.CallOwner(
            self._node_id, self._incarnation, next(self._sequences)
        )
        self._active_owners.add(owner)
        return owner

    async def reserve(self, command: state.ReserveCall) -> state.Outcome:
        """Proposes a reservation; abandons it if its outcome is unknown."""
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if not outcome.ok:
            self._active_owners.discard(command.owner)
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
        """Records how a call ended; retries in the background on failure."""
        self._active_owners.discard(owner)
        command = state.FinishCall(
            call, owner, call_state, self._clock.wall_ms(), answer
        )
        outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
        if outcome.code not in _FINAL_CODES:
            self._record_later(command)
        return outcome

    async def resolve(
        self, call: state.CallKey, answer: state.StoredAnswer | None
    ) -> state.Outcome:
        """Records an outcome that was looked up at the service."""
        command = state.ResolveCall(
            call, state.CallState.FINISHED, self._clock.wall_ms(), answer
        )
        return await self._shared.propose(command, PROPOSE_TIMEOUT_MS)

    @mode.Service.task
    async def _record_incarnation_regularly(self) -> None:
        """Records this incarnation, then the entry's clock at intervals."""
        while not self.should_stop:
            command = state.RecordEntryIncarnation(
                self._node_id, self._incarnation, self._clock.wall_ms()
            )
            outcome = await self._shared.propose(command, PROPOSE_TIMEOUT_MS)
            await self.sleep(
                INCARNATION_INTERVAL_S if outcome.ok else RETRY_INTERVAL_S
            )

    @mode.Service.task
    async def _record_unrecorded(self) -> None:
        while not self.should_stop:
            command = await self._unrecorded.get()
            updated = dataclasses.replace(
                command, wall_ms=self._clock.wall_ms()
            )
            outcome = await self._shared.propose(updated, PROPOSE_TIMEOUT_MS)
            if outcome.code not in _FINAL_CODES:
                self._record_later(command)
                await self.sleep(RETRY_INTERVAL_S)

    def _on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        """Records as not run a reservation that commits once abandoned."""
        if not isinstance(command, state.ReserveCall) or not outcome.ok:
            return
        owner = command.owner
        own_incarnation = (self._node_id, self._incarnation)
        if (owner.node_id, owner.incarnation) != own_incarnation:
            return
        if owner not in self._active_owners:
            self._record_later(self._not_run(command))

    def _record_later(self, command: state.FinishCall) -> None:
        _log.info(
            "end of call queued for recording in the ledger",
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
