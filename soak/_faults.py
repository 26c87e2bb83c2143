"""Kinds of faults; each ends what it did."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
import signal
from typing import Any
from typing import Final

from lagooncrank import registry
from soak import _deployment
from soak import _nodes
from soak import _proxy

#: Carries out one fault that lasts for a number of seconds.
Fault = Callable[
    [_deployment.Deployment, random.Random, float], Coroutine[Any, Any, None]
]

#: Every kind of fault by name.
FAULTS: Final[registry.Registry[Fault]] = registry.Registry("fault")

#: Kinds after which a disk is empty.
DISK_LOSSES: Final = frozenset({"lose-disk"})
#: Kinds that harm backend servers alone.
OF_SERVERS: Final = frozenset({"replace-servers", "bad-answers", "drain"})


async def _down(node: _nodes.Node, number: signal.Signals) -> None:
    node.send(number)
    await node.wait()


@FAULTS.register("kill")
async def kill(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """A process is killed and started again."""
    node = random_.choice(site.nodes)
    await _down(node, signal.SIGKILL)
    await asyncio.sleep(for_s)
    if not node.runs:
        await node.start()


@FAULTS.register("kill-all")
async def kill_all(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """All control nodes are killed at once."""
    for node in site.controls:
        node.send(signal.SIGKILL)
    for node in site.controls:
        await node.wait()
    await asyncio.sleep(for_s / 2)
    await asyncio.gather(*(n.start() for n in site.controls if not n.runs))


@FAULTS.register("restart")
async def restart(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """Nodes are stopped as planned and started, one after the other."""
    for node in random_.sample(site.nodes, k=2):
        await _down(node, signal.SIGTERM)
        if not node.runs:
            await node.start()


@FAULTS.register("pause")
async def pause(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """A process stands still; the clocks go on meanwhile."""
    node = random_.choice(site.nodes)
    node.send(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    node.send(signal.SIGCONT)


@FAULTS.register("lose-disk")
async def lose_disk(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """A control node comes back with an empty disk."""
    node = random_.choice(site.controls)
    await _down(node, signal.SIGKILL)
    node.wipe()
    await asyncio.sleep(for_s / 2)
    if not node.runs:
        await node.start()


@FAULTS.register("reload")
async def reload(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """Settings files are written anew, with and without a signal."""
    for node in random_.sample(site.nodes, k=2):
        node.touch_settings()
        if random_.random() < 0.5:
            node.send(signal.SIGHUP)


@FAULTS.register("delay")
async def delay(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """Connections become slow."""
    harm = _proxy.Harm(delay_s=random_.uniform(0.02, 0.3))
    await _harm_some(site, random_, for_s, harm)


@FAULTS.register("silence")
async def silence(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """Connections fall silent, in one direction or both."""
    ways = [(True, True), (True, False), (False, True)]
    holds_requests, holds_answers = random_.choice(ways)
    harm = _proxy.Harm(
        holds_requests=holds_requests, holds_answers=holds_answers
    )
    await _harm_some(site, random_, for_s, harm)


@FAULTS.register("refuse")
async def refuse(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """Connections are reset, and new ones as well."""
    proxies = random_.sample(site.proxies, k=3)
    for proxy in proxies:
        proxy.reset()
    await _harm(proxies, for_s, _proxy.Harm(refuses=True))


@FAULTS.register("reset")
async def reset(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """Connections are reset, again and again."""
    for _ in range(5):
        for proxy in random_.sample(site.proxies, k=3):
            proxy.reset()
        await asyncio.sleep(for_s / 5)


@FAULTS.register("replace-servers")
async def replace_servers(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """Backend servers are lost; others come."""
    for server in random_.sample(site.running_servers(), k=2):
        await site.lose_server(server)
        await asyncio.sleep(for_s / 2)
        domain = "d1" if server.service == "writers" else ""
        await site.add_server(server.service, domain)


@FAULTS.register("bad-answers")
async def bad_answers(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """A backend server refuses, loses, cuts or confuses its answers."""
    server = random_.choice(site.running_servers())
    name = random_.choice(
        ["loses_answers", "is_full", "is_unsigned", "truncates"]
    )
    setattr(server, name, True)
    await asyncio.sleep(for_s)
    setattr(server, name, False)


@FAULTS.register("drain")
async def drain(
    site: _deployment.Deployment, random_: random.Random, for_s: float
) -> None:
    """A backend server says that it leaves, and another comes."""
    server = random_.choice(site.running_servers())
    server.state = "draining"
    await asyncio.sleep(for_s)
    if server.is_running:
        await site.lose_server(server)
    domain = "d1" if server.service == "writers" else ""
    await site.add_server(server.service, domain)


async def _harm_some(
    site: _deployment.Deployment,
    random_: random.Random,
    for_s: float,
    harm: _proxy.Harm,
) -> None:
    await _harm(random_.sample(site.proxies, k=2), for_s, harm)


async def _harm(
    proxies: list[_proxy.Proxy], for_s: float, harm: _proxy.Harm
) -> None:
    for proxy in proxies:
        await proxy.set(harm)
    await asyncio.sleep(for_s)
    for proxy in proxies:
        await proxy.set(_proxy.Harm())
