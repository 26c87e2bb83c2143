"""Plays one seed and returns the promises that were broken."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import pathlib
import random
from typing import Final

import aiohttp

from soak import _deployment
from soak import _faults
from soak import _nodes
from soak import _operator

#: Longest time from the end of the last fault to service. It is far beyond
#: the seconds that recovery takes, as the machine may be busy.
RECOVERY_LIMIT_S: Final = 60.0
POLL_S: Final = 0.1
FAULT_S: Final = (0.3, 3.0)
GAP_S: Final = (0.1, 1.2)
#: Answers after the last fault that prove that the system serves again.
ENOUGH_SERVED: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """What one seed plays."""

    seed: int
    #: Time during which faults begin.
    duration_s: float = 15.0
    entries: int = 2
    engines: int = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What came of a seed."""

    seed: int
    problems: tuple[str, ...]
    faults: tuple[str, ...]
    served: int
    acknowledged: int
    statuses: dict[int, int]


async def play(setup: Setup, folder: pathlib.Path) -> Report:
    """Plays one seed.

    Args:
        setup: The seed and the size of the deployment.
        folder: Empty folder for data, settings and logs of the nodes.
    """
    site = _deployment.Deployment(
        folder, setup.seed, setup.entries, setup.engines
    )
    faults: list[str] = []
    try:
        await site.start()
        await _wait_for_service(site, "the start")
        await _harm(site, setup, faults)
        await _wait_for_service(site, "the last fault")
        await _read_back(site)
    except* (RecoveryError, _nodes.StartError) as errors:
        # Faults run in a task group, which wraps what they raise.
        for error in _leaves(errors):
            site.ledger.problem(str(error))
    finally:
        await site.stop()
    return Report(
        setup.seed,
        tuple(site.ledger.close()),
        tuple(faults),
        site.callers.served,
        site.operator.acknowledged,
        dict(site.ledger.statuses),
    )


def _leaves(group: BaseExceptionGroup) -> Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error


class RecoveryError(Exception):
    """The system did not serve again in time."""


async def _harm(
    site: _deployment.Deployment, setup: Setup, faults: list[str]
) -> None:
    """Begins faults one after the other; they may overlap."""
    random_ = random.Random(setup.seed)
    until_s = asyncio.get_running_loop().time() + setup.duration_s
    async with asyncio.TaskGroup() as group:
        while asyncio.get_running_loop().time() < until_s:
            name = random_.choice(_faults.FAULTS.names())
            for_s = random_.uniform(*FAULT_S)
            # Each fault draws for itself, whatever the others do meanwhile.
            own = random.Random(random_.random())
            group.create_task(_carry_out(site, name, own, for_s, faults))
            await asyncio.sleep(random_.uniform(*GAP_S))


async def _carry_out(
    site: _deployment.Deployment,
    name: str,
    random_: random.Random,
    for_s: float,
    faults: list[str],
) -> None:
    """Carries a fault out and notes when it began and ended."""
    async with contextlib.AsyncExitStack() as stack:
        if name in _faults.DISK_LOSSES:
            await stack.enter_async_context(site.losses.of_a_disk())
        elif name not in _faults.OF_SERVERS:
            await stack.enter_async_context(site.losses.of_another_kind())
        began_s = _since_s(site)
        await _faults.FAULTS.get(name)(site, random_, for_s)
        faults.append(f"{name}@{began_s:.1f}-{_since_s(site):.1f}")


def _since_s(site: _deployment.Deployment) -> float:
    return asyncio.get_running_loop().time() - site.began_s


async def _wait_for_service(site: _deployment.Deployment, after: str) -> None:
    """Waits until requests are served and changes acknowledged."""
    served = site.callers.served + ENOUGH_SERVED
    acknowledged = site.operator.acknowledged + 1

    def serves() -> bool:
        is_served = site.callers.served >= served
        return is_served and site.operator.acknowledged >= acknowledged

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            while not serves():  # noqa: ASYNC110 - several counts, no event
                await asyncio.sleep(POLL_S)
            return
    raise RecoveryError(
        f"no service within {RECOVERY_LIMIT_S} s after {after}: "
        f"{site.callers.served} requests served, version "
        f"{site.operator.acknowledged} acknowledged"
    )


async def _read_back(site: _deployment.Deployment) -> None:
    timeout = _operator.TIMEOUT
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for _ in range(10):
            await site.operator.read(session)
