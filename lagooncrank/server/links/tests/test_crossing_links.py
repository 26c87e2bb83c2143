"""Two nodes that dial each other at the same time keep one link."""

import asyncio
import dataclasses
import itertools
import socket

import pytest

from lagooncrank import clock
from lagooncrank import model
from lagooncrank.server.links import _channel
from lagooncrank.server.links import _links

A = model.NodeId("a")
B = model.NodeId("b")
TIMEOUT_S = 5.0

#: A node, and whether it dialled the link that it is about to use.
End = tuple[model.NodeId, bool]
#: Both ends of each link. Who is dialled uses it first: it sends the last part
#: of the handshake.
LINK_OF_A: list[End] = [(B, False), (A, True)]
LINK_OF_B: list[End] = [(A, False), (B, True)]
ORDERS = [
    order
    for order in itertools.permutations(LINK_OF_A + LINK_OF_B)
    if all(
        order.index(dialled) < order.index(dialler)
        for dialled, dialler in (LINK_OF_A, LINK_OF_B)
    )
]


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    sender: model.NodeId


class HeldLinks(_links.Links):
    """Links that are made, but used only once the test says so."""

    def __init__(
        self, node_id: model.NodeId, sockets: dict[model.NodeId, socket.socket]
    ) -> None:
        addresses = {
            n: "{}:{}".format(*s.getsockname()) for n, s in sockets.items()
        }
        super().__init__(
            node_id,
            addresses,
            b"k",
            clock.ManualClock(),
            listener=sockets[node_id],
            accepts_unknown_peers=True,
        )
        #: By whether this node dialled.
        self.made = {True: asyncio.Event(), False: asyncio.Event()}
        self.used = {True: asyncio.Event(), False: asyncio.Event()}
        self.made_count = 0
        self.received = asyncio.Event()
        self.on_message("ping", Ping, lambda *_: self.received.set())

    async def _run_channel(self, channel: _channel.Channel) -> None:
        self.made_count += 1
        self.made[channel.is_dialer].set()
        await self.used[channel.is_dialer].wait()
        await super()._run_channel(channel)


# Guards against: each node keeps the link that it saw last, closes the other,
# and both dial again at the same time, again and again.
@pytest.mark.parametrize("order", ORDERS)
async def test_both_nodes_keep_the_same_link(order: tuple[End, ...]) -> None:
    sockets = {n: socket.create_server(("127.0.0.1", 0)) for n in (A, B)}
    nodes = {n: HeldLinks(n, sockets) for n in (A, B)}
    async with asyncio.timeout(TIMEOUT_S), nodes[A], nodes[B]:
        for node, is_dialer in order:
            await nodes[node].made[is_dialer].wait()
        for node, is_dialer in order:
            nodes[node].used[is_dialer].set()
            await asyncio.sleep(0)
        while not all(node.received.is_set() for node in nodes.values()):
            nodes[A].send(B, "ping", Ping(A))
            nodes[B].send(A, "ping", Ping(B))
            await asyncio.sleep(0.01)
        assert [nodes[A].made_count, nodes[B].made_count] == [2, 2]
