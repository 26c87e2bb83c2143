"""Runs one seed and reports the guarantees that were violated."""

import asyncio
import collections
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
import pathlib
import random
from typing import Any
from typing import Final

from soak import _budget
from soak import _builds
from soak import _charges
from soak import _deployment
from soak import _faults
from soak import _given_up
from soak import _left_callers
from soak import _nodes
from soak import _planned_faults
from soak import _repeat_faults as _repeat_faults  # registers its kinds
from soak import _upgrades

#: Longest time from the end of the last fault until the system serves again.
#: It is far longer than the seconds that recovery takes, as the machine may be
#: busy.
RECOVERY_TIMEOUT_S: Final = 60.0
POLL_S: Final = 0.1
#: Shortest and longest duration of a fault.
FAULT_DURATION_S: Final = (0.3, 3.0)
#: Shortest and longest time between the starts of two faults.
MIN_INTERVAL_S: Final = 0.1
MAX_INTERVAL_S: Final = 1.2
#: Stands for the kinds that are planned work only.
PLANNED: Final = "planned"
#: Served requests that prove that the system serves again.
MIN_SERVED_REQUESTS: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class SeedConfig:
    """A seed, the duration of its faults and the size of its deployment."""

    seed: int
    #: Time during which faults start.
    duration_s: float = 15.0
    entries: int = 2
    engines: int = 6
    #: Kinds of faults; none for all.
    kinds: tuple[str, ...] = ()
    #: Commit that all nodes start on, and which upgrades replace; empty for
    #: the build at hand.
    production: str = ""
    #: Longest time between the starts of two faults.
    max_interval_s: float = MAX_INTERVAL_S
    #: Repeats that the operator allows.
    budget: _budget.BudgetRules = _budget.BINDING_RULES
    controls: int = _deployment.DEFAULT_CONTROLS
    #: Shortest and longest time for which servers do nothing at all.
    hush_s: tuple[float, float] = _deployment.HUSH_S
    callers: int = _deployment.CALLER_COUNT

    def names(self) -> tuple[str, ...]:
        """Returns the kinds of faults to choose from."""
        if self.kinds == (PLANNED,):
            return _planned_faults.PLANNED_FAULTS
        if self.kinds:
            return self.kinds
        if self.production:
            return _faults.FAULTS.names() + _upgrades.UPGRADE_WEIGHT * (
                _upgrades.UPGRADES.names()
            )
        return _faults.FAULTS.names()


@dataclasses.dataclass(frozen=True, slots=True)
class SeedReport:
    """Result of one seed."""

    seed: int
    #: Violated guarantees and failures to start or to recover.
    violations: tuple[str, ...]
    #: Completed faults, as "name@start-end" in seconds.
    faults: tuple[str, ...]
    #: Number of requests that were served.
    served: int
    #: Highest document version that was acknowledged.
    acknowledged: int
    #: Number of requests by HTTP status.
    statuses: dict[int, int]
    #: What entries served while they were cut off, and the others meanwhile.
    cuts: str
    #: Number of nodes by the build that they ran at the end.
    builds: dict[str, int]
    #: What the checks had to judge.
    seen: str


async def run_seed(config: SeedConfig, folder: pathlib.Path) -> SeedReport:
    """Runs one seed.

    Args:
        config: The seed and the size of the deployment.
        folder: Empty folder for the nodes' data, settings and logs.
    """
    production = None
    if config.production:
        production = await _builds.export(config.production, folder)
    deployment = _deployment.Deployment(
        folder,
        config.seed,
        config.entries,
        config.engines,
        production,
        config.budget,
        config.controls,
        config.hush_s,
    )
    deployment.checks.has_pauses_only = bool(
        config.kinds
    ) and _faults.PAUSE_FAULTS.issuperset(config.kinds)
    faults: list[str] = []
    try:
        await deployment.start(config.callers)
        await _wait_until_serving(deployment, "the start")
        await _inject_faults(deployment, config, faults)
        await _wait_until_serving(deployment, "the last fault")
        await deployment.stop_operators()
        await deployment.operator.check_at_the_end()
    except* (RecoveryError, _nodes.StartError) as errors:
        # Faults run in a task group, which wraps the exceptions they raise.
        for error in _flatten(errors):
            deployment.history.record_violation(str(error))
    finally:
        await _finish(deployment.stop())
    if set(config.kinds).issubset(_faults.CUT_FAULTS) and config.kinds:
        # Other faults fail requests at any entry.
        for violation in deployment.cuts.violations():
            deployment.history.record_violation(violation)
    charges = _charges.read_charges(e.log_file for e in deployment.entries)
    noticed_ms = _left_callers.read_departures(
        e.log_file for e in deployment.entries
    )
    given_up = _given_up.read_given_up(e.log_file for e in deployment.entries)
    return SeedReport(
        config.seed,
        tuple(deployment.checks.finish(charges, noticed_ms, given_up)),
        tuple(faults),
        deployment.callers.served,
        deployment.operator.acknowledged,
        dict(deployment.history.statuses),
        deployment.cuts.summary(),
        dict(
            collections.Counter(n.started_build.name for n in deployment.nodes)
        ),
        f"{deployment.checks.summary(charges)}, "
        f"{len(given_up)} streams given up as silent, "
        f"{deployment.lag.delays} own delays of "
        f"up to {deployment.lag.longest_s:.2f} s",
    )


async def _finish(work: Coroutine[Any, Any, None]) -> None:
    """Completes some work although this task may be cancelled meanwhile."""
    task = asyncio.create_task(work)
    was_cancelled = False
    while not task.done():
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            was_cancelled = True
    task.result()
    if was_cancelled:
        raise asyncio.CancelledError


def _flatten(group: BaseExceptionGroup) -> Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


class RecoveryError(Exception):
    """The system did not serve requests within the recovery timeout."""


async def _inject_faults(
    deployment: _deployment.Deployment, config: SeedConfig, faults: list[str]
) -> None:
    """Starts faults one after the other; they may overlap."""
    random_ = random.Random(config.seed)
    end_s = asyncio.get_running_loop().time() + config.duration_s
    async with asyncio.TaskGroup() as group:
        while asyncio.get_running_loop().time() < end_s:
            name = random_.choice(config.names())
            duration_s = random_.uniform(*FAULT_DURATION_S)
            # Each fault has a generator of its own, so that its choices do not
            # depend on the order in which overlapping faults draw.
            fault_random = random.Random(random_.random())
            group.create_task(
                _run_fault(deployment, name, fault_random, duration_s, faults)
            )
            await asyncio.sleep(
                random_.uniform(MIN_INTERVAL_S, config.max_interval_s)
            )


async def _run_fault(
    deployment: _deployment.Deployment,
    name: str,
    random_: random.Random,
    duration_s: float,
    faults: list[str],
) -> None:
    """Runs a fault and appends its name, start and end to `faults`."""
    async with contextlib.AsyncExitStack() as stack:
        if name in _faults.DISK_LOSS_FAULTS:
            await stack.enter_async_context(
                deployment.disk_loss_lock.hold_exclusive()
            )
        elif name not in _faults.SERVER_FAULTS:
            await stack.enter_async_context(
                deployment.disk_loss_lock.hold_shared()
            )
        started_s = _elapsed_s(deployment)
        await _fault(name)(deployment, random_, duration_s)
        faults.append(f"{name}@{started_s:.1f}-{_elapsed_s(deployment):.1f}")


def _fault(name: str) -> _faults.Fault:
    if name in _upgrades.UPGRADES.names():
        return _upgrades.UPGRADES.get(name)
    return _faults.FAULTS.get(name)


def _elapsed_s(deployment: _deployment.Deployment) -> float:
    return asyncio.get_running_loop().time() - deployment.started_s


async def _wait_until_serving(
    deployment: _deployment.Deployment, after: str
) -> None:
    """Waits until requests are served and a change is acknowledged.

    Raises:
        RecoveryError: That did not happen within the recovery timeout.
    """
    min_served = deployment.callers.served + MIN_SERVED_REQUESTS
    min_acknowledged = deployment.operator.acknowledged + 1

    def is_serving() -> bool:
        is_served = deployment.callers.served >= min_served
        return (
            is_served and deployment.operator.acknowledged >= min_acknowledged
        )

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while not is_serving():  # noqa: ASYNC110 - several counts, no event
                await asyncio.sleep(POLL_S)
            return
    raise RecoveryError(
        f"no service within {RECOVERY_TIMEOUT_S} s after {after}: "
        f"{deployment.callers.served} requests served, version "
        f"{deployment.operator.acknowledged} acknowledged"
    )
