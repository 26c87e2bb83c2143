"""Slopes of the core's decisions: processor time per decision."""

from collections.abc import Iterator
import itertools
from typing import Any

from bench import _sample_objects
from bench import _slopes
from bench import announcements
from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import membership
from lagooncrank.core import placement
from lagooncrank.core import routing
from lagooncrank.core import state

_REPEATS = 200
_SERVICE = model.ServiceName("drafts-000")


@_slopes.measurement(
    "cpu_admission", "us", "client account", "offer, start, end of one request"
)
def _cpu_admission() -> Iterator[_slopes.Point]:
    for size in (10, 100, 400):
        policy = _admission_policy(size)
        numbers = itertools.count()

        def process_request(
            policy: Any = policy, numbers: Any = numbers
        ) -> None:
            request_id = model.RequestId(f"r{next(numbers)}")
            name = _sample_objects.account(next(numbers) % 10).name
            policy.offer(
                admission.Offer(request_id, name, _SERVICE, 500, 400, 10_000),
                0,
            )
            policy.first_token(request_id, 1)
            policy.ended(request_id, 2)

        yield _slopes.Point(size, _slopes.cpu_us(process_request, _REPEATS))


@_slopes.measurement(
    "cpu_admission_tick",
    "us",
    "client account in use",
    "one tick with new limits for one service",
)
def _cpu_admission_tick() -> Iterator[_slopes.Point]:
    for size in (10, 100, 400):
        policy = _admission_policy(size)
        for index in range(size):
            request_id = model.RequestId(f"r{index}")
            name = _sample_objects.account(index).name
            offer = admission.Offer(request_id, name, _SERVICE, 500, 400, 10**9)
            policy.offer(offer, 0)
        tick_times_ms = itertools.count(0, admission.LIMITS_INTERVAL_MS)

        def tick(
            policy: Any = policy, tick_times_ms: Any = tick_times_ms
        ) -> None:
            policy.tick(next(tick_times_ms))

        yield _slopes.Point(size, _slopes.cpu_us(tick, _REPEATS // 10))


@_slopes.measurement("cpu_route", "us", "replica", "choose, send, end")
def _cpu_route() -> Iterator[_slopes.Point]:
    domain = model.FailureDomainId("domain-0")
    for size in (4, 16, 64):
        router = routing.ROUTERS.get("balanced").from_config(
            routing.RouterConfig(_sample_objects.NODE, domain)
        )
        targets = [_target(index) for index in range(size)]
        numbers = itertools.count()

        def route_request(
            router: Any = router, targets: Any = targets, numbers: Any = numbers
        ) -> None:
            request_id = model.RequestId(f"r{next(numbers)}")
            name = _sample_objects.account(0).name
            query = routing.RouteQuery(request_id, _SERVICE, name, 500, 400)
            target = router.choose(query, targets, 0)
            if target is not None:
                router.sent(query, target, 0)
                router.ended(request_id, routing.AttemptOutcome.COMPLETED, 5)

        yield _slopes.Point(size, _slopes.cpu_us(route_request, _REPEATS))


@_slopes.measurement(
    "cpu_placement", "us", "instance", "one step, every replica serving"
)
def _cpu_placement() -> Iterator[_slopes.Point]:
    for size in (64, 256, 1_024):
        replicas = {
            replica.replica_id: replica
            for replica in map(
                _sample_objects.replica,
                range(size // _sample_objects.INSTANCES_PER_REPLICA),
            )
        }
        planner = _planner()
        snapshot = placement.ClusterSnapshot(
            declarations=_sample_objects.declarations(1),
            replicas=replicas,
            last_fencing_number=len(replicas),
            members=tuple(_members(size)),
        )

        def step(planner: Any = planner, snapshot: Any = snapshot) -> None:
            planner.step(snapshot, 1_000)

        yield _slopes.Point(size, _slopes.cpu_us(step, 5))


@_slopes.measurement(
    "cpu_booking",
    "us",
    "booking on record",
    "one more booking: decode and apply its two entries",
)
def _cpu_booking() -> Iterator[_slopes.Point]:
    for size in (1_000, 4_000, 16_000):
        machine = _sample_objects.state_machine(
            *_sample_objects.booking_commands(size)
        )
        numbers = itertools.count(size)

        def apply_booking(
            machine: Any = machine, numbers: Any = numbers
        ) -> None:
            number = next(numbers)
            for command in (
                _sample_objects.reserve_command(number),
                _sample_objects.finish_command(number),
            ):
                data = state.encode_command(command)
                index = machine.applied_index + 1
                machine.apply(index, state.decode_command(data))

        yield _slopes.Point(size, _slopes.cpu_us(apply_booking, _REPEATS // 10))


@_slopes.measurement(
    "cpu_change", "us", "client account", "decode and apply one change"
)
def _cpu_change() -> Iterator[_slopes.Point]:
    for size in (100, 400, 1_600):
        command = _sample_objects.apply_command(
            _sample_objects.declarations(size)
        )
        data = state.encode_command(command)

        def apply(data: bytes = data) -> None:
            state.StateMachine().apply(1, state.decode_command(data))

        yield _slopes.Point(size, _slopes.cpu_us(apply, 3))


def _admission_policy(accounts: int) -> admission.AdmissionPolicy:
    config = admission.AdmissionConfig(
        node_id=_sample_objects.NODE, incarnation=1, entries=3
    )
    policy = admission.ADMISSION_POLICIES.get("fair_share").from_config(config)
    policy.configure(_sample_objects.declarations(accounts), 0)
    policy.set_capacity(admission.Capacity(_SERVICE, 50, 1_600, 100_000), 0)
    return policy


def _target(index: int) -> routing.Target:
    return routing.Target(
        target_id=f"replica-{index}",
        address=f"127.0.0.1:{9_000 + index}",
        failure_domain_id=model.FailureDomainId(f"domain-{index % 3}"),
        incarnation="1",
        load=model.LoadReport(running=index % 7),
        load_received_ms=0,
        concurrency=32,
    )


def _planner() -> placement.Planner:
    return placement.Planner(
        policy=placement.POLICIES.get("weighted")(),
        rules=placement.FencingRules(10_000, 30_000),
        leader_since_ms=0,
        last_fencing_number=10_000,
    )


def _members(instances: int) -> Iterator[membership.Member]:
    for index in range(instances):
        replica = _sample_objects.replica(
            index // _sample_objects.INSTANCES_PER_REPLICA
        )
        rank = index % _sample_objects.INSTANCES_PER_REPLICA
        announcement = announcements.announcement(index, 1).with_changes(
            backend_server_id=replica.backend_servers[rank],
            instance_id=replica.instances[rank],
            fabric_domain_id=replica.fabric_domain_id,
            loaded=model.LoadedModel(
                replica.service,
                replica.replica_id,
                replica.version,
                replica.fencing_number,
                ready=True,
            ),
        )
        yield membership.Member(announcement, 900, 3_400)
