"""Faults that replace nodes by another build, one after the other."""

import asyncio
import random
import signal
from typing import Final

from lagooncrank import registry
from soak import _builds
from soak import _deployment
from soak import _faults
from soak import _nodes

#: Every kind of upgrade by name; for runs that start on an earlier build.
UPGRADES: Final[registry.Registry[_faults.Fault]] = registry.Registry("upgrade")
#: How often each kind stands beside the other faults of a run with upgrades.
UPGRADE_WEIGHT: Final = 2
#: Longest pause between two replaced nodes.
MAX_PAUSE_S: Final = 1.5
#: Longest time until all nodes that were killed start again.
MAX_DARK_S: Final = 2.0


@UPGRADES.register("upgrade")
async def upgrade(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Replaces all nodes by the build at hand, one after the other."""
    for node in _in_some_order(deployment, random_):
        await _replace(node, deployment.current_build, random_)


@UPGRADES.register("roll-back")
async def roll_back(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Replaces some nodes, then returns all to the earlier build."""
    nodes = _in_some_order(deployment, random_)
    count = random_.randint(1, len(nodes))
    for node in nodes[:count]:
        await _replace(node, deployment.current_build, random_)
    for node in nodes:
        await _replace(node, deployment.production_build, random_)


@UPGRADES.register("upgrade-and-kill")
async def upgrade_and_kill(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Kills all nodes in the middle of an upgrade, then completes it."""
    nodes = _in_some_order(deployment, random_)
    killed_after = random_.randrange(len(nodes))
    for number, node in enumerate(nodes):
        if number == killed_after:
            await _kill_all(deployment, random_)
        await _replace(node, deployment.current_build, random_)


def _in_some_order(
    deployment: _deployment.Deployment, random_: random.Random
) -> list[_nodes.Node]:
    """Returns all nodes: one role first, or in any order."""
    orders = [
        [*deployment.controls, *deployment.entries],
        [*deployment.entries, *deployment.controls],
        random_.sample(deployment.nodes, k=len(deployment.nodes)),
    ]
    return random_.choice(orders)


async def _replace(
    node: _nodes.Node, build: _builds.Build, random_: random.Random
) -> None:
    """Stops a node as planned and starts it, on its disk, with a build."""
    if node.started_build == build:
        return
    node.build = build
    node.send_signal(signal.SIGTERM)
    await node.wait_for_exit()
    await node.start()
    await asyncio.sleep(random_.uniform(0.0, MAX_PAUSE_S))


async def _kill_all(
    deployment: _deployment.Deployment, random_: random.Random
) -> None:
    for node in deployment.nodes:
        node.send_signal(signal.SIGKILL)
    for node in deployment.nodes:
        await node.wait_for_exit()
    await asyncio.sleep(random_.uniform(0.0, MAX_DARK_S))
    await asyncio.gather(*(node.start() for node in deployment.nodes))
