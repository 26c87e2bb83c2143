"""Calls that must run at most once, from reservation to response."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

from aiohttp import web
import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank import results
from lagooncrank.core import routing
from lagooncrank.core import state
from lagooncrank.server import _at_most_once_calls
from lagooncrank.server import _call_recorder
from lagooncrank.server import _interfaces
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


class FakeSharedState:
    """State machine of all entries; proposals may fail or commit late."""

    leader = model.NodeId("n1")
    term = 1

    def __init__(self) -> None:
        self.machine = state.StateMachine()
        self.listeners: list[_interfaces.AppliedListener] = []
        self.late_commands: list[state.Command] = []
        #: Result code for each type of command that must not commit now.
        self.failure_codes: dict[type, Code] = {}

    def commit(self, command: state.Command) -> state.Outcome:
        index = self.machine.applied_index + 1
        outcome = self.machine.apply(index, command)
        for listener in self.listeners:
            listener(command, outcome)
        return outcome

    def commit_late_commands(self) -> None:
        for command in self.late_commands:
            self.commit(command)

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        await asyncio.sleep(0)
        code = self.failure_codes.get(type(command))
        if code is None:
            return self.commit(command)
        if code is Code.PROPOSAL_LOST:
            self.late_commands.append(command)
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


class FakeService:
    """Plain service that records each run of a call.

    May abort the connection of a call instead of responding.
    """

    def __init__(self) -> None:
        self.address = ""
        self.runs: list[str] = []
        self.aborts = False
        self.knows_outcomes = False
        self.called = asyncio.Event()
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/outcome/{key}", self._outcome)
        app.router.add_route("*", "/{path:.*}", self._respond)
        return app

    async def _respond(self, request: web.Request) -> web.Response:
        self.runs.append(request.method)
        self.called.set()
        await self.may_respond.wait()
        if self.aborts and request.transport is not None:
            request.transport.abort()
        return web.json_response({"run": len(self.runs)}, status=201)

    async def _outcome(self, request: web.Request) -> web.Response:
        known = self.knows_outcomes and request.match_info["key"] == KEY.key
        return web.json_response(
            {"booked": known}, status=200 if known else 404
        )


class OrderedTargets:
    """Chooses the first address that is not excluded.

    Calls `before_choice` before each choice.
    """

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


class Cluster:
    """Entries that share one state and one plain service."""

    def __init__(self) -> None:
        self.shared = FakeSharedState()
        self.clock = clocks.ManualClock(wall_offset_ms=1_000_000)
        self.service = FakeService()
        self.targets = OrderedTargets([])
        self.pools = _pools.ConnectionPools(
            observed_time.ObservedClock(clocks.SystemClock())
        )
        self.recorders: list[_call_recorder.CallRecorder] = []

    def new_entry(
        self, name: str, incarnation: int = 1
    ) -> _at_most_once_calls.AtMostOnceCallRunner:
        recorder = _call_recorder.CallRecorder(
            model.NodeId(name), incarnation, self.shared, self.clock
        )
        self.recorders.append(recorder)
        return _at_most_once_calls.AtMostOnceCallRunner(
            self.shared,
            self.clock,
            self.targets,
            _plain_client.PlainClient(self.pools),
            recorder,
            observed_time.ObservedClock(self.clock),
        )

    async def record_pending(self) -> None:
        """Makes every recorder propose again the ends it could not record."""
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
async def running_cluster() -> AsyncIterator[Cluster]:
    cluster = Cluster()
    listener = _process.bind_loopback(0)
    cluster.service.address = _process.bound_address(listener)
    cluster.targets.addresses = [cluster.service.address]
    close = await _process.serve(cluster.service.app(), listener)
    yield cluster
    await cluster.pools.on_stop()
    await close()


async def refusal_of(
    entry: _at_most_once_calls.AtMostOnceCallRunner,
    call: _plain_calls.PlainCall,
) -> tuple[Code, ExecutionStatus]:
    with pytest.raises(results.LagooncrankError) as caught:
        await entry.run(call)
    return caught.value.refusal.code, caught.value.refusal.ran


async def test_retry_at_any_entry_gets_the_stored_answer() -> None:
    async with running_cluster() as cluster:
        first = await cluster.new_entry("n1").run(cluster.call())
        cluster.targets.addresses = []
        replayed = await cluster.new_entry("n2").run(cluster.call())
        assert (first.status, first.body) == (replayed.status, replayed.body)
        assert ("Idempotency-Replayed", "true") in replayed.headers
        assert cluster.service.runs == ["POST"]


async def test_racing_entries_run_a_call_once() -> None:
    async with running_cluster() as cluster:
        cluster.service.may_respond.clear()
        entries = [cluster.new_entry("n1"), cluster.new_entry("n2")]
        runs = [asyncio.ensure_future(e.run(cluster.call())) for e in entries]
        done, others = await asyncio.wait(
            runs, return_when=asyncio.FIRST_COMPLETED
        )
        error = done.pop().exception()
        assert isinstance(error, results.LagooncrankError)
        assert error.refusal.code is Code.CALL_IN_PROGRESS
        assert error.refusal.ran is ExecutionStatus.UNKNOWN
        cluster.service.may_respond.set()
        assert (await others.pop()).status == 201
        assert cluster.service.runs == ["POST"]


async def test_other_body_with_the_same_key_is_refused() -> None:
    async with running_cluster() as cluster:
        entry = cluster.new_entry("n1")
        await entry.run(cluster.call())
        refused = await refusal_of(entry, cluster.call(b"slot 10"))
        assert refused == (Code.KEY_REUSED, ExecutionStatus.NOT_RUN)
        assert cluster.service.runs == ["POST"]


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
async def test_aborted_connection_leaves_the_outcome_unknown(
    method: str,
) -> None:
    async with running_cluster() as cluster:
        cluster.service.aborts = True
        call = cluster.call(method=method)
        unknown = (Code.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
        assert await refusal_of(cluster.new_entry("n1"), call) == unknown
        assert await refusal_of(cluster.new_entry("n2"), call) == unknown
        assert cluster.service.runs == [method]


async def test_another_server_is_tried_after_a_refused_connection() -> None:
    async with running_cluster() as cluster:
        closed = _sockets.listener(f"{_process.LOOPBACK}:0")
        unreachable = _sockets.bound_address(closed)
        closed.close()
        cluster.targets.addresses.insert(0, unreachable)
        response = await cluster.new_entry("n1").run(cluster.call())
        assert response.status == 201
        assert cluster.service.runs == ["POST"]


async def test_call_that_reached_no_server_is_not_run_and_can_be_retried() -> (
    None
):
    async with running_cluster() as cluster:
        address = cluster.targets.addresses[0]
        closed = _sockets.listener(f"{_process.LOOPBACK}:0")
        cluster.targets.addresses = [_sockets.bound_address(closed)]
        closed.close()
        entry = cluster.new_entry("n1")
        refused = await refusal_of(entry, cluster.call())
        assert refused == (Code.CONNECT_FAILED, ExecutionStatus.NOT_RUN)
        cluster.targets.addresses = [address]
        assert (await entry.run(cluster.call())).status == 201


async def test_owner_delayed_past_the_send_window_sends_nothing() -> None:
    async with running_cluster() as cluster:
        entry = cluster.new_entry("n1")
        late_ms = _at_most_once_calls.SEND_WINDOW_MS + 1
        choices = iter((0, late_ms))
        cluster.targets.before_choice = lambda: cluster.clock.advance(
            next(choices)
        )
        refused = await refusal_of(entry, cluster.call())
        assert refused == (Code.SEND_WINDOW_PASSED, ExecutionStatus.NOT_RUN)
        assert cluster.service.runs == []
        cluster.targets.before_choice = lambda: None
        assert (await cluster.new_entry("n2").run(cluster.call())).status == 201


async def test_without_quorum_nothing_is_sent() -> None:
    async with running_cluster() as cluster:
        cluster.shared.failure_codes = {state.ReserveCall: Code.NO_QUORUM}
        refused = await refusal_of(cluster.new_entry("n1"), cluster.call())
        assert refused == (Code.NO_QUORUM, ExecutionStatus.NOT_RUN)
        assert cluster.service.runs == []


async def test_without_quorum_a_reserved_call_is_not_reported_as_not_run() -> (
    None
):
    async with running_cluster() as cluster:
        cluster.service.aborts = True
        await refusal_of(cluster.new_entry("n1"), cluster.call())
        cluster.shared.failure_codes = {state.ReserveCall: Code.NO_QUORUM}
        refused = await refusal_of(cluster.new_entry("n2"), cluster.call())
        assert refused == (Code.NO_QUORUM, ExecutionStatus.UNKNOWN)


@pytest.mark.parametrize("abandoned_first", [True, False])
async def test_reservation_that_commits_late_is_not_sent_and_frees_the_key(
    abandoned_first: bool,
) -> None:
    async with running_cluster() as cluster:
        cluster.shared.failure_codes = {state.ReserveCall: Code.PROPOSAL_LOST}
        refused = await refusal_of(cluster.new_entry("n1"), cluster.call())
        assert refused == (Code.PROPOSAL_LOST, ExecutionStatus.NOT_RUN)
        cluster.shared.failure_codes.clear()
        if abandoned_first:
            await cluster.record_pending()
        cluster.shared.commit_late_commands()
        await cluster.record_pending()
        record = cluster.shared.machine.call(KEY)
        assert record is not None
        assert record.state is state.CallState.NOT_RUN
        assert (await cluster.new_entry("n2").run(cluster.call())).status == 201
        assert cluster.service.runs == ["POST"]


async def test_reservation_that_commits_after_a_later_one_ended() -> None:
    async with running_cluster() as cluster:
        cluster.shared.failure_codes = {state.ReserveCall: Code.PROPOSAL_LOST}
        await refusal_of(cluster.new_entry("n1"), cluster.call())
        cluster.shared.failure_codes.clear()
        await cluster.record_pending()
        address = cluster.targets.addresses.pop()
        closed = _sockets.listener(f"{_process.LOOPBACK}:0")
        cluster.targets.addresses = [_sockets.bound_address(closed)]
        closed.close()
        await refusal_of(cluster.new_entry("n2"), cluster.call())
        cluster.shared.commit_late_commands()
        await cluster.record_pending()
        cluster.targets.addresses = [address]
        assert (await cluster.new_entry("n3").run(cluster.call())).status == 201


async def test_response_is_returned_and_recorded_when_quorum_returns() -> None:
    async with running_cluster() as cluster:
        cluster.shared.failure_codes = {state.FinishCall: Code.NO_QUORUM}
        response = await cluster.new_entry("n1").run(cluster.call())
        assert response.status == 201
        refused = await refusal_of(cluster.new_entry("n2"), cluster.call())
        assert refused == (Code.CALL_IN_PROGRESS, ExecutionStatus.UNKNOWN)
        cluster.shared.failure_codes.clear()
        await cluster.record_pending()
        replayed = await cluster.new_entry("n2").run(cluster.call())
        assert replayed.body == response.body
        assert cluster.service.runs == ["POST"]


async def test_call_of_a_dead_owner_is_resolved_only_by_lookup() -> None:
    async with running_cluster() as cluster:
        cluster.service.may_respond.clear()
        call = cluster.call(service=LOOKUP)
        running_call = asyncio.ensure_future(cluster.new_entry("n1").run(call))
        await cluster.service.called.wait()
        running_call.cancel()
        await asyncio.wait([running_call])
        second_entry = cluster.new_entry("n2")
        in_progress = await refusal_of(second_entry, call)
        assert in_progress == (Code.CALL_IN_PROGRESS, ExecutionStatus.UNKNOWN)
        cluster.shared.commit(
            state.RecordEntryIncarnation(model.NodeId("n1"), 2, 1_000_000)
        )
        unknown = await refusal_of(second_entry, call)
        assert unknown == (Code.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
        cluster.service.knows_outcomes = True
        found = await second_entry.run(call)
        assert found.status == 200
        assert (await cluster.new_entry("n3").run(call)).body == found.body
        assert cluster.service.runs == ["POST"]
        cluster.service.may_respond.set()


async def test_reservation_of_an_owner_that_never_returns_is_unknown() -> None:
    async with running_cluster() as cluster:
        recorders = cluster.recorders
        entry = cluster.new_entry("n1")
        command = state.ReserveCall(
            KEY,
            cluster.call().digest,
            recorders[0].new_owner(),
            cluster.clock.wall_ms(),
            1_000,
        )
        cluster.shared.commit(command)
        assert (await refusal_of(entry, cluster.call()))[0] is (
            Code.CALL_IN_PROGRESS
        )
        cluster.clock.advance(60_000)
        late = dataclasses.replace(cluster.call(), deadline_ms=200_000)
        refused = await refusal_of(entry, late)
        assert refused == (Code.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
        assert cluster.service.runs == []
