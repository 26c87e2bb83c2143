"""Calls that may not be repeated, from the reservation to the answer."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

from aiohttp import web
import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _call_recorder
from lagooncrank.server import _interfaces
from lagooncrank.server import _once_calls
from lagooncrank.server import _plain_calls
from lagooncrank.server import _plain_client
from lagooncrank.server import _pools
from lagooncrank.server import _sockets
from standins import _process

Code = results.ResultCode
ExecutionStatus = results.ExecutionStatus
ACCOUNT = model.ClientAccount(model.ClientAccountId("a"), (), share=1)
SERVICE = model.PlainService(
    model.ServiceName("visits"), repeatable=False, timeout_ms=2_000
)
LOOKUP = dataclasses.replace(SERVICE, outcome_lookup_path="/outcome/{key}")
KEY = state.CallKey(ACCOUNT.name, SERVICE.name, "k/1")


class Log:
    """One state machine for all entries, and proposals that came late."""

    leader = model.NodeId("n1")
    term = 1

    def __init__(self) -> None:
        self.machine = state.StateMachine()
        self.listeners: list[_interfaces.AppliedListener] = []
        self.late: list[state.Command] = []
        #: Result for each kind of command that does not commit now.
        self.failing: dict[type, Code] = {}

    def commit(self, command: state.Command) -> state.Outcome:
        index = self.machine.applied_index + 1
        outcome = self.machine.apply(index, command)
        for listener in self.listeners:
            listener(command, outcome)
        return outcome

    def commit_late(self) -> None:
        for command in self.late:
            self.commit(command)

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        await asyncio.sleep(0)
        code = self.failing.get(type(command))
        if code is None:
            return self.commit(command)
        if code is Code.PROPOSAL_LOST:
            self.late.append(command)
        return state.Outcome(code, code.meaning)

    @property
    def view(self) -> state.StateMachine:
        return self.machine

    @property
    def is_leader(self) -> bool:
        return True

    def lease_holds(self) -> bool:
        return True

    async def confirm_read(self, timeout_ms: int) -> bool:
        return True

    def on_applied(self, listener: _interfaces.AppliedListener) -> None:
        self.listeners.append(listener)


class Service:
    """Counts how often each key ran; may cut the connection instead."""

    def __init__(self) -> None:
        self.address = ""
        self.runs: list[str] = []
        self.cuts = False
        self.knows_outcomes = False
        self.called = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/outcome/{key}", self._outcome)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        self.runs.append(request.method)
        self.called.set()
        await self.gate.wait()
        if self.cuts and request.transport is not None:
            request.transport.abort()
        return web.json_response({"run": len(self.runs)}, status=201)

    async def _outcome(self, request: web.Request) -> web.Response:
        known = self.knows_outcomes and request.match_info["key"] == KEY.key
        return web.json_response(
            {"booked": known}, status=200 if known else 404
        )


class Targets:
    """Offers addresses in order; a hook runs before each choice."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.before_choice: Callable[[], None] = lambda: None

    def choose(self, query: routing.RouteQuery) -> routing.Target:
        self.before_choice()
        for address in self.addresses:
            if address not in query.excluded:
                return routing.Target(
                    target_id=address,
                    address=address,
                    failure_domain_id=model.FailureDomainId("d"),
                    incarnation="1",
                    load=model.LoadReport(),
                    load_received_ms=0,
                    concurrency=1,
                )
        refusal = results.Refusal(
            Code.NO_BACKEND_SERVER, "none", ExecutionStatus.UNKNOWN
        )
        raise results.LagooncrankError(refusal)


class World:
    """Entries that share one log and one plain service."""

    def __init__(self) -> None:
        self.log = Log()
        self.clock = clocks.ManualClock(wall_offset_ms=1_000_000)
        self.service = Service()
        self.targets = Targets([])
        self.pools = _pools.ConnectionPools()
        self.recorders: list[_call_recorder.CallRecorder] = []

    def entry(self, name: str, incarnation: int = 1) -> _once_calls.OnceCalls:
        recorder = _call_recorder.CallRecorder(
            model.NodeId(name), incarnation, self.log, self.clock
        )
        self.recorders.append(recorder)
        return _once_calls.OnceCalls(
            self.log,
            self.clock,
            self.targets,
            _plain_client.PlainClient(self.pools),
            recorder,
        )

    async def record(self) -> None:
        """Lets every recorder try again what it could not record."""
        for recorder in self.recorders:
            await recorder.on_stop()

    def call(
        self,
        body: bytes = b"slot 9",
        method: str = "POST",
        service: model.PlainService = SERVICE,
    ) -> _plain_calls.PlainCall:
        return _plain_calls.PlainCall(
            request_id=model.RequestId("r"),
            account=ACCOUNT,
            service=service,
            idempotency_key=KEY.key,
            digest=b"digest of " + body,
            request=_plain_client.PlainRequest(method, "/slots", (), body),
            deadline_ms=60_000,
        )


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[World]:
    world = World()
    listener = _process.bind_loopback(0)
    world.service.address = _process.bound_address(listener)
    world.targets.addresses = [world.service.address]
    close = await _process.serve(world.service.app(), listener)
    yield world
    await world.pools.on_stop()
    await close()


async def refusal_of(
    entry: _once_calls.OnceCalls, call: _plain_calls.PlainCall
) -> tuple[Code, ExecutionStatus]:
    with pytest.raises(results.LagooncrankError) as caught:
        await entry.run(call)
    return caught.value.refusal.code, caught.value.refusal.ran


async def test_repeat_at_any_entry_gets_the_stored_answer() -> None:
    async with running() as world:
        first = await world.entry("n1").run(world.call())
        world.targets.addresses = []
        again = await world.entry("n2").run(world.call())
        assert (first.status, first.body) == (again.status, again.body)
        assert ("Idempotency-Replayed", "true") in again.headers
        assert world.service.runs == ["POST"]


async def test_racing_entries_run_a_call_once() -> None:
    async with running() as world:
        world.service.gate.clear()
        entries = [world.entry("n1"), world.entry("n2")]
        runs = [asyncio.ensure_future(e.run(world.call())) for e in entries]
        done, others = await asyncio.wait(
            runs, return_when=asyncio.FIRST_COMPLETED
        )
        error = done.pop().exception()
        assert isinstance(error, results.LagooncrankError)
        assert error.refusal.code is Code.CALL_IN_PROGRESS
        assert error.refusal.ran is ExecutionStatus.UNKNOWN
        world.service.gate.set()
        assert (await others.pop()).status == 201
        assert world.service.runs == ["POST"]


async def test_other_body_with_the_same_key_is_refused() -> None:
    async with running() as world:
        entry = world.entry("n1")
        await entry.run(world.call())
        other = await refusal_of(entry, world.call(b"slot 10"))
        assert other == (Code.KEY_REUSED, ExecutionStatus.NOT_RUN)
        assert world.service.runs == ["POST"]


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
async def test_cut_connection_leaves_the_outcome_unknown(method: str) -> None:
    async with running() as world:
        world.service.cuts = True
        call = world.call(method=method)
        unknown = (Code.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
        assert await refusal_of(world.entry("n1"), call) == unknown
        assert await refusal_of(world.entry("n2"), call) == unknown
        assert world.service.runs == [method]


async def test_refused_connection_lets_another_server_be_tried() -> None:
    async with running() as world:
        closed = _sockets.listener(f"{_process.LOOPBACK}:0")
        gone = _sockets.bound_address(closed)
        closed.close()
        world.targets.addresses.insert(0, gone)
        answer = await world.entry("n1").run(world.call())
        assert answer.status == 201
        assert world.service.runs == ["POST"]


async def test_call_that_no_server_took_is_not_run_and_can_be_repeated() -> (
    None
):
    async with running() as world:
        address = world.targets.addresses[0]
        closed = _sockets.listener(f"{_process.LOOPBACK}:0")
        world.targets.addresses = [_sockets.bound_address(closed)]
        closed.close()
        entry = world.entry("n1")
        refused = await refusal_of(entry, world.call())
        assert refused == (Code.CONNECT_FAILED, ExecutionStatus.NOT_RUN)
        world.targets.addresses = [address]
        assert (await entry.run(world.call())).status == 201


async def test_owner_held_up_past_the_send_window_sends_nothing() -> None:
    async with running() as world:
        entry = world.entry("n1")
        late_ms = _once_calls.SEND_WINDOW_MS + 1
        choices = iter((0, late_ms))
        world.targets.before_choice = lambda: world.clock.advance(next(choices))
        refused = await refusal_of(entry, world.call())
        assert refused == (Code.SEND_WINDOW_PASSED, ExecutionStatus.NOT_RUN)
        assert world.service.runs == []
        world.targets.before_choice = lambda: None
        assert (await world.entry("n2").run(world.call())).status == 201


async def test_without_quorum_nothing_is_sent() -> None:
    async with running() as world:
        world.log.failing = {state.ReserveCall: Code.NO_QUORUM}
        refused = await refusal_of(world.entry("n1"), world.call())
        assert refused == (Code.NO_QUORUM, ExecutionStatus.NOT_RUN)
        assert world.service.runs == []


async def test_without_quorum_a_reserved_call_is_not_told_as_not_run() -> None:
    async with running() as world:
        world.service.cuts = True
        await refusal_of(world.entry("n1"), world.call())
        world.log.failing = {state.ReserveCall: Code.NO_QUORUM}
        refused = await refusal_of(world.entry("n2"), world.call())
        assert refused == (Code.NO_QUORUM, ExecutionStatus.UNKNOWN)


@pytest.mark.parametrize("given_up_first", [True, False])
async def test_reservation_that_commits_late_is_not_sent_and_frees_the_key(
    given_up_first: bool,
) -> None:
    async with running() as world:
        world.log.failing = {state.ReserveCall: Code.PROPOSAL_LOST}
        refused = await refusal_of(world.entry("n1"), world.call())
        assert refused == (Code.PROPOSAL_LOST, ExecutionStatus.NOT_RUN)
        world.log.failing.clear()
        if given_up_first:
            await world.record()
        world.log.commit_late()
        await world.record()
        record = world.log.machine.call(KEY)
        assert record is not None
        assert record.state is state.CallState.NOT_RUN
        assert (await world.entry("n2").run(world.call())).status == 201
        assert world.service.runs == ["POST"]


async def test_reservation_that_commits_after_others_came_and_went() -> None:
    async with running() as world:
        world.log.failing = {state.ReserveCall: Code.PROPOSAL_LOST}
        await refusal_of(world.entry("n1"), world.call())
        world.log.failing.clear()
        await world.record()
        address = world.targets.addresses.pop()
        closed = _sockets.listener(f"{_process.LOOPBACK}:0")
        world.targets.addresses = [_sockets.bound_address(closed)]
        closed.close()
        await refusal_of(world.entry("n2"), world.call())
        world.log.commit_late()
        await world.record()
        world.targets.addresses = [address]
        assert (await world.entry("n3").run(world.call())).status == 201


async def test_answer_is_given_and_recorded_once_the_quorum_is_back() -> None:
    async with running() as world:
        world.log.failing = {state.FinishCall: Code.NO_QUORUM}
        answer = await world.entry("n1").run(world.call())
        assert answer.status == 201
        waiting = await refusal_of(world.entry("n2"), world.call())
        assert waiting == (Code.CALL_IN_PROGRESS, ExecutionStatus.UNKNOWN)
        world.log.failing.clear()
        await world.record()
        again = await world.entry("n2").run(world.call())
        assert again.body == answer.body
        assert world.service.runs == ["POST"]


async def test_call_of_an_owner_that_died_is_resolved_by_lookup_only() -> None:
    async with running() as world:
        world.service.gate.clear()
        call = world.call(service=LOOKUP)
        running_call = asyncio.ensure_future(world.entry("n1").run(call))
        await world.service.called.wait()
        running_call.cancel()
        await asyncio.wait([running_call])
        other = world.entry("n2")
        first = await refusal_of(other, call)
        assert first == (Code.CALL_IN_PROGRESS, ExecutionStatus.UNKNOWN)
        world.log.commit(
            state.RecordEntryIncarnation(model.NodeId("n1"), 2, 1_000_000)
        )
        second = await refusal_of(other, call)
        assert second == (Code.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
        world.service.knows_outcomes = True
        found = await other.run(call)
        assert found.status == 200
        assert (await world.entry("n3").run(call)).body == found.body
        assert world.service.runs == ["POST"]
        world.service.gate.set()


async def test_reservation_of_an_owner_that_never_comes_back_is_unknown() -> (
    None
):
    async with running() as world:
        owner = world.recorders
        entry = world.entry("n1")
        command = state.ReserveCall(
            KEY,
            world.call().digest,
            owner[0].new_owner(),
            world.clock.wall_ms(),
            1_000,
        )
        world.log.commit(command)
        assert (await refusal_of(entry, world.call()))[0] is (
            Code.CALL_IN_PROGRESS
        )
        world.clock.advance(60_000)
        late = dataclasses.replace(world.call(), deadline_ms=200_000)
        refused = await refusal_of(entry, late)
        assert refused == (Code.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
        assert world.service.runs == []
