"""Kinds of faults; each one also reverts what it caused."""

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

#: Injects one fault into a deployment, with random choices of its own, for a
#: duration in seconds.
Fault = Callable[
    [_deployment.Deployment, random.Random, float], Coroutine[Any, Any, None]
]

#: Every kind of fault by name.
FAULTS: Final[registry.Registry[Fault]] = registry.Registry("fault")

#: Cuts last longer than other faults by this factor.
CUT_DURATION_FACTOR: Final = 4
FLAP_INTERVAL_S: Final = 2.0
STUTTER_DURATION_FACTOR: Final = 2
#: Shortest and longest pause of a node, and the same of its turns.
STUTTER_PAUSE_S: Final = (0.6, 2.0)
STUTTER_TURN_S: Final = (0.02, 0.4)
CUT_ALL_PROBABILITY: Final = 0.1

#: Kinds that cut entries off from backend servers, and nothing else.
CUT_FAULTS: Final = ("cut-entries", "flap-entry")
#: Kinds that pause entries, and do nothing else.
PAUSE_FAULTS: Final = frozenset({"stutter"})
#: Kinds that erase a disk.
DISK_LOSS_FAULTS: Final = frozenset({"lose-disk"})
#: Kinds that affect backend servers only.
SERVER_FAULTS: Final = frozenset(
    {
        "replace-servers",
        "bad-answers",
        "drain",
        "leave",
        "quiet",
        "hush",
        "hush-all",
        "rest",
        "crash-request",
        "crash-part",
    }
)


async def _stop_process(
    node: _nodes.Node, signal_number: signal.Signals
) -> None:
    node.send_signal(signal_number)
    await node.wait_for_exit()


@FAULTS.register("kill")
async def kill_node(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Kills a node and starts it again."""
    node = random_.choice(deployment.nodes)
    await _stop_process(node, signal.SIGKILL)
    await asyncio.sleep(duration_s)
    if not node.is_running:
        await node.start()


@FAULTS.register("kill-all")
async def kill_control_nodes(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Kills all control nodes at once and starts them again."""
    for node in deployment.controls:
        node.send_signal(signal.SIGKILL)
    for node in deployment.controls:
        await node.wait_for_exit()
    await asyncio.sleep(duration_s / 2)
    await asyncio.gather(
        *(n.start() for n in deployment.controls if not n.is_running)
    )


@FAULTS.register("restart")
async def restart_nodes(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Shuts down nodes gracefully and starts them, one after the other."""
    for node in random_.sample(deployment.nodes, k=2):
        await _stop_process(node, signal.SIGTERM)
        if not node.is_running:
            await node.start()


@FAULTS.register("pause")
async def pause_node(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Suspends a node's process; clocks advance meanwhile."""
    node = random_.choice(deployment.nodes)
    node.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    node.send_signal(signal.SIGCONT)


@FAULTS.register("stutter")
async def pause_entry_repeatedly(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Suspends an entry again and again, as if processor time were short."""
    node = random_.choice(deployment.entries)
    await _stutter(node, random_, STUTTER_DURATION_FACTOR * duration_s)


@FAULTS.register("stutter-controls")
async def pause_controls_repeatedly(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Suspends all control nodes again and again, each by itself."""
    await asyncio.gather(
        *(
            _stutter(node, random.Random(random_.random()), duration_s)
            for node in deployment.controls
        )
    )


async def _stutter(
    node: _nodes.Node, random_: random.Random, duration_s: float
) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(random_.uniform(*STUTTER_PAUSE_S))
        node.send_signal(signal.SIGCONT)
        await asyncio.sleep(random_.uniform(*STUTTER_TURN_S))


@FAULTS.register("lose-disk")
async def lose_disk(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Kills a control node and starts it again with an empty disk."""
    node = random_.choice(deployment.controls)
    await _stop_process(node, signal.SIGKILL)
    node.erase_disk()
    await asyncio.sleep(duration_s / 2)
    if not node.is_running:
        await node.start()


@FAULTS.register("reload")
async def rewrite_settings_files(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Rewrites settings files, with and without a signal to the process."""
    for node in random_.sample(deployment.nodes, k=2):
        node.rewrite_settings()
        if random_.random() < 0.5:
            node.send_signal(signal.SIGHUP)


@FAULTS.register("delay")
async def delay_traffic(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Delays the data of some connections."""
    impairment = _proxy.Impairment(delay_s=random_.uniform(0.02, 0.3))
    await _impair_some(deployment, random_, duration_s, impairment)


@FAULTS.register("silence")
async def block_traffic(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Holds back the data of some connections, one or both directions."""
    directions = [(True, True), (True, False), (False, True)]
    blocks_requests, blocks_responses = random_.choice(directions)
    impairment = _proxy.Impairment(
        blocks_requests=blocks_requests, blocks_responses=blocks_responses
    )
    await _impair_some(deployment, random_, duration_s, impairment)


def _entries_to_cut(
    deployment: _deployment.Deployment, random_: random.Random
) -> list[_nodes.Node]:
    """Returns all entries, or more often all but one that serves on."""
    if random_.random() < CUT_ALL_PROBABILITY:
        return deployment.entries
    return deployment.entries[1:]


@FAULTS.register("cut-entries")
async def cut_entries(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Cuts some entries off from all backend servers, in one of the ways."""
    candidates = _entries_to_cut(deployment, random_)
    count = random_.randint(1, len(candidates))
    entries = random_.sample(candidates, k=count)
    kind = random_.choice(list(_proxy.CutKind))
    cut = [e for e in entries if await deployment.cuts.cut(e.ip, kind)]
    await asyncio.sleep(duration_s * CUT_DURATION_FACTOR)
    for entry in cut:
        await deployment.cuts.join(entry.ip)


@FAULTS.register("flap-entry")
async def flap_entry(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Cuts one entry off again and again, for two seconds each."""
    entry = random_.choice(_entries_to_cut(deployment, random_))
    for _ in range(3):
        kind = random_.choice(list(_proxy.CutKind))
        if await deployment.cuts.cut(entry.ip, kind):
            await asyncio.sleep(FLAP_INTERVAL_S)
            await deployment.cuts.join(entry.ip)
        await asyncio.sleep(FLAP_INTERVAL_S)


@FAULTS.register("refuse")
async def refuse_connections(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Resets some connections and, for the duration, new ones."""
    proxies = random_.sample(deployment.proxies, k=3)
    for proxy in proxies:
        proxy.reset()
    await _impair(
        proxies, duration_s, _proxy.Impairment(resets_new_connections=True)
    )


@FAULTS.register("reset")
async def reset_connections(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Resets connections repeatedly."""
    for _ in range(5):
        for proxy in random_.sample(deployment.proxies, k=3):
            proxy.reset()
        await asyncio.sleep(duration_s / 5)


@FAULTS.register("replace-servers")
async def replace_servers(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Stops backend servers abruptly and starts new ones in their place."""
    for server in random_.sample(deployment.running_servers(), k=2):
        await deployment.stop_server(server)
        await asyncio.sleep(duration_s / 2)
        domain = "d1" if server.service == "writers" else ""
        await deployment.add_server(server.service, domain)


@FAULTS.register("bad-answers")
async def respond_incorrectly(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Makes a backend server refuse requests or send faulty responses."""
    server = random_.choice(deployment.running_servers())
    name = random_.choice(
        [
            "loses_answers",
            "is_full",
            "is_unsigned",
            "truncates",
            "repeats_refusals",
            "errors_after_breaks",
            "stops_in_heads",
        ]
    )
    if server.watch is not None:
        server.watch.begin(name)
    setattr(server, name, True)
    await asyncio.sleep(duration_s)
    setattr(server, name, False)
    if server.watch is not None:
        server.watch.end(name)


@FAULTS.register("drain")
async def drain_server(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
) -> None:
    """Drains a backend server, then replaces it by a new one."""
    server = random_.choice(deployment.running_servers())
    server.state = "draining"
    await asyncio.sleep(duration_s)
    if server.is_running:
        await deployment.stop_server(server)
    domain = "d1" if server.service == "writers" else ""
    await deployment.add_server(server.service, domain)


async def _impair_some(
    deployment: _deployment.Deployment,
    random_: random.Random,
    duration_s: float,
    impairment: _proxy.Impairment,
) -> None:
    await _impair(
        random_.sample(deployment.proxies, k=2), duration_s, impairment
    )


async def _impair(
    proxies: list[_proxy.Proxy],
    duration_s: float,
    impairment: _proxy.Impairment,
) -> None:
    for proxy in proxies:
        await proxy.impair(impairment)
    await asyncio.sleep(duration_s)
    for proxy in proxies:
        await proxy.impair(_proxy.Impairment())
