import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import socket

import prometheus_client
import pytest

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.server import links
from lagooncrank.server.links import _channel
from lagooncrank.server.links import _handshake

A = model.NodeId("a")
B = model.NodeId("b")
TIMEOUT_S = 5.0
RECEIVE_TIMEOUT_MS = links.LinkTiming().receive_timeout_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    text: str


def bound_socket() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return sock


def address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


class LinkedNode:
    """A node with running links that records the pings it receives."""

    def __init__(self, service: links.Links) -> None:
        self.service = service
        self.received: list[tuple[model.NodeId, int]] = []
        service.on_message("ping", Ping, self._on_ping)

    def _on_ping(self, sender: model.NodeId, ping: Ping) -> None:
        self.received.append((sender, ping.number))


@contextlib.asynccontextmanager
async def linked_pair(
    key_a: bytes = b"k", key_b: bytes = b"k"
) -> AsyncIterator[tuple[LinkedNode, LinkedNode, clock.ManualClock]]:
    sockets = {A: bound_socket(), B: bound_socket()}
    addresses = {n: address(s) for n, s in sockets.items()}
    manual_clock = clock.ManualClock()
    nodes = [
        LinkedNode(
            links.Links(n, addresses, key, manual_clock, listener=sockets[n])
        )
        for n, key in ((A, key_a), (B, key_b))
    ]
    async with nodes[0].service, nodes[1].service:
        yield nodes[0], nodes[1], manual_clock


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


async def test_messages_are_delivered_in_both_directions() -> None:
    async with linked_pair() as (a, b, _):
        await wait_until(
            lambda: a.service.connected() and b.service.connected()
        )
        a.service.send(B, "ping", Ping(1))
        b.service.send(A, "ping", Ping(2))
        await wait_until(lambda: a.received and b.received)
        assert b.received == [(A, 1)]
        assert a.received == [(B, 2)]


def refused_link_count() -> float:
    name = "lagooncrank_peer_links_closed_total"
    sample = prometheus_client.REGISTRY.get_sample_value(
        name, {"reason": "refused"}
    )
    return sample or 0.0


async def test_peer_with_another_key_is_not_connected() -> None:
    before = refused_link_count()
    async with linked_pair(key_b=b"other") as (a, b, _):
        await wait_until(lambda: refused_link_count() >= before + 2)
        assert not a.service.connected()
        assert not b.service.connected()


async def test_unresponsive_link_is_closed_and_dialled_again() -> None:
    async with linked_pair() as (a, b, manual_clock):
        await wait_until(
            lambda: a.service.connected() and b.service.connected()
        )
        for _ in range(RECEIVE_TIMEOUT_MS // observed_time.TICK_MS):
            manual_clock.advance(observed_time.TICK_MS)
            a.service._observed_clock.tick()
        assert not a.service.connected()
        a.service.check_links()
        await wait_until(
            lambda: a.service.connected() and b.service.connected()
        )
        a.service.send(B, "ping", Ping(3))
        await wait_until(lambda: b.received)
        assert b.received == [(A, 3)]


# Guards against a node that takes its peers for lost, and what it knows from
# them for outdated, because it stood still itself.
async def test_own_standstill_is_no_silence_of_a_peer() -> None:
    async with linked_pair() as (a, b, manual_clock):
        await wait_until(
            lambda: a.service.connected() and b.service.connected()
        )
        closed = links_closed()
        manual_clock.advance(10 * RECEIVE_TIMEOUT_MS)
        assert a.service.connected() == {B}
        a.service.check_links()
        assert a.service.connected() == {B}
        assert links_closed() == closed


@pytest.mark.parametrize("part_count", [0.5, 1.0, 20.5])
async def test_message_of_several_parts_is_reassembled(
    part_count: float,
) -> None:
    text = "x" * int(part_count * _channel.MAX_PART_BYTES)
    received_texts: list[str] = []
    async with linked_pair() as (a, b, _):
        b.service.on_message(
            "text", Text, lambda _, t: received_texts.append(t.text)
        )
        await wait_until(
            lambda: a.service.connected() and b.service.connected()
        )
        a.service.send(B, "text", Text(text))
        await wait_until(lambda: received_texts)
        a.service.send(B, "ping", Ping(1))
        await wait_until(lambda: b.received)
        assert received_texts == [text]


async def test_unknown_and_invalid_messages_do_not_close_the_link() -> None:
    async with linked_pair() as (a, b, _):
        await wait_until(
            lambda: a.service.connected() and b.service.connected()
        )
        a.service.send(B, "other", Ping(1))
        a.service.send(B, "ping", {"number": "no number"})
        a.service.send(B, "ping", Ping(4))
        await wait_until(lambda: b.received)
        assert b.received == [(A, 4)]


@pytest.mark.parametrize("change", ["altered", "repeated", "left_out"])
def test_frames_that_are_not_authentic_are_refused(change: str) -> None:
    hellos = _handshake.Hello.of(A), _handshake.Hello.of(B)
    sender = _handshake.Session(b"k", *hellos, is_dialer=True)
    receiver = _handshake.Session(b"k", *hellos, is_dialer=False)
    first, second = sender.seal(b"one"), sender.seal(b"two")
    frames = {
        "altered": [first[:-1] + b"x"],
        "repeated": [first, first],
        "left_out": [second],
    }
    for frame in frames[change][:-1]:
        receiver.open(frame)
    with pytest.raises(links.HandshakeError, match="not authentic"):
        receiver.open(frames[change][-1])


# Guards against: a message whose handler failed closed the link. The peer sent
# it again after each new connection, so that this node followed nothing.
async def test_failing_handler_closes_no_link() -> None:
    async with linked_pair() as (a, b, _):
        await wait_until(lambda: a.service.connected() == {B})

        def fail(_sender: model.NodeId, _text: Text) -> None:
            raise OverflowError

        b.service.on_message("text", Text, fail)
        closed = links_closed()
        a.service.send(B, "text", Text("odd"))
        a.service.send(B, "ping", Ping(1))
        await wait_until(lambda: b.received)
        assert b.received == [(A, 1)]
        assert links_closed() == closed


def links_closed() -> float:
    reasons = ("closed", "internal_error", "refused", "replaced", "silent")
    values = [
        prometheus_client.REGISTRY.get_sample_value(
            "lagooncrank_peer_links_closed_total", {"reason": reason}
        )
        for reason in reasons
    ]
    return sum(value or 0.0 for value in values)
