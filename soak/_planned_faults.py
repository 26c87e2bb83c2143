"""Stops, signals and kills in series, and servers that leave."""

import asyncio
from collections.abc import Sequence
import math
import random
import signal
from typing import Final

from soak import _checks
from soak import _deployment
from soak import _faults
from soak import _nodes
from soak import _servers

#: Kinds that disturb nothing but by planned work.
PLANNED_FAULTS: Final = (
    "roll",
    "reload-all",
    "leave",
    "stop-at-once",
    "quiet",
    "hush",
    "hush-all",
)
MAX_PAUSE_S: Final = 1.0
#: Longest time for which everything is down.
MAX_DARK_S: Final = 3.0
#: How long a server that leaves serves on after the bound.
LEAVE_MARGIN_S: Final = 6.0
ACK_TIMEOUT_S: Final = 10.0
#: Shortest and longest time for which a sound server sends nothing.
QUIET_S: Final = (0.8, 1.5)
#: Services that fall silent, and the parts of their servers that do.
HUSHED_SERVICES: Final = ("writers", "writers", "desk")
HUSHED_SHARES: Final = (1.0, 0.6)


@_faults.FAULTS.register("roll")
async def roll_entries(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Shuts down entries in turn, under load, and starts them again."""
    for node in random_.sample(deployment.entries, len(deployment.entries)):
        await restart(node)
        await asyncio.sleep(random_.uniform(0.0, MAX_PAUSE_S))


async def restart(node: _nodes.Node) -> None:
    """Shuts down a node gracefully and starts it."""
    node.send_signal(signal.SIGTERM)
    await node.wait_for_exit()
    await node.start()


@_faults.FAULTS.register("stop-at-once")
async def stop_several(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Sends the same signal to several nodes in a row."""
    count = random_.randint(1, max(len(deployment.entries) - 1, 1))
    nodes = [
        *random_.sample(deployment.entries, count),
        random_.choice(deployment.controls),
    ]
    await asyncio.gather(*(restart(node) for node in nodes))


@_faults.FAULTS.register("cut-stop-short")
async def kill_during_stop(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Shuts down a node and kills it before it is done."""
    node = random_.choice(deployment.nodes)
    node.send_signal(signal.SIGTERM)
    await asyncio.sleep(duration_s / 2)
    node.send_signal(signal.SIGKILL)
    await node.wait_for_exit()
    await node.start()


@_faults.FAULTS.register("reload-all")
async def reload_all(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Rewrites the settings of all nodes and says so to each."""
    for node in random_.sample(deployment.nodes, len(deployment.nodes)):
        node.rewrite_settings()
        node.send_signal(signal.SIGHUP)
        await asyncio.sleep(random_.uniform(0.0, 0.1))


@_faults.FAULTS.register("reload-after-start")
async def reload_after_start(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Kills a node, starts it and signals new settings right away."""
    node = random_.choice(deployment.nodes)
    node.send_signal(signal.SIGKILL)
    await node.wait_for_exit()
    await node.start()
    node.rewrite_settings()
    node.send_signal(signal.SIGHUP)


async def _kill_everything(
    deployment: _deployment.Deployment, dark_s: float
) -> None:
    for node in deployment.nodes:
        node.send_signal(signal.SIGKILL)
    for node in deployment.nodes:
        await node.wait_for_exit()
    await asyncio.sleep(dark_s)
    await asyncio.gather(*(node.start() for node in deployment.nodes))


@_faults.FAULTS.register("kill-everything")
async def kill_everything(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Kills all nodes at one moment; at times once more after the start."""
    await _kill_everything(deployment, random_.uniform(0.0, MAX_DARK_S))
    if random_.random() < 0.5:
        await asyncio.sleep(random_.uniform(1.0, 3.0))
        await _kill_everything(deployment, random_.uniform(0.0, MAX_DARK_S))


@_faults.FAULTS.register("kill-after-ack")
async def kill_after_ack(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Kills all nodes as soon as a change has been acknowledged."""
    deployment.operator.has_acknowledged.clear()
    try:
        async with asyncio.timeout(ACK_TIMEOUT_S):
            await deployment.operator.has_acknowledged.wait()
    except TimeoutError:
        # Beside other faults none may be acknowledged for a while.
        return
    await _kill_everything(deployment, random_.uniform(0.0, MAX_DARK_S))


@_faults.FAULTS.register("quiet")
async def fall_silent(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Lets sound servers send nothing for about a second, then go on."""
    now_s = asyncio.get_running_loop().time()
    servers = deployment.running_servers()
    for server in random_.sample(servers, random_.randint(1, len(servers))):
        server.quiet_until_s = now_s + random_.uniform(*QUIET_S)


@_faults.FAULTS.register("hush")
async def hush_service(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Stops all or most servers of a service for a second, like a signal."""
    service = random_.choice(HUSHED_SERVICES)
    share = random_.choice(HUSHED_SHARES)
    servers = [s for s in deployment.running_servers() if s.service == service]
    hushed = random_.sample(servers, math.ceil(share * len(servers)))
    await _hush(deployment, hushed, random_)


@_faults.FAULTS.register("hush-all")
async def hush_all(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Stops the servers of all services for a second, like a signal."""
    await _hush(deployment, deployment.running_servers(), random_)


async def _hush(
    deployment: _deployment.Deployment,
    hushed: Sequence[_servers.CheckingServer],
    random_: random.Random,
) -> None:
    proxies = [deployment.proxy_of(server) for server in hushed]
    for server, proxy in zip(hushed, proxies, strict=True):
        server.is_held = True
        proxy.hold()
    await asyncio.sleep(random_.uniform(*deployment.hush_s))
    for server, proxy in zip(hushed, proxies, strict=True):
        server.is_held = False
        await proxy.release()


@_faults.FAULTS.register("leave")
async def leave(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Lets a server deregister and serve on; replaces it by a new one."""
    server = random_.choice(deployment.running_servers())
    await server.deregister()
    await asyncio.sleep(_checks.DRAIN_S + LEAVE_MARGIN_S)
    if server.is_running:
        await deployment.stop_server(server)
        domain = "d1" if server.service == "writers" else ""
        await deployment.add_server(server.service, domain)
