"""Keeps one link to each other node and passes messages over it."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import inspect
import socket
from typing import Any
from typing import Final

import cbor2
import logbook
import mode
import msgspec
import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _ports
from lagooncrank.server.links import _channel
from lagooncrank.server.links import _metrics
from lagooncrank.server.links import _redial

CHECK_INTERVAL_S: Final = 0.1

_log = logbook.Logger("lagooncrank.links")


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTiming:
    """Durations of the peer links."""

    #: An idle link carries a frame this often.
    heartbeat_ms: int = 300
    #: A link that is silent for this long is dropped and dialled anew.
    silence_ms: int = 1_200
    redial: _redial.RedialTiming = dataclasses.field(
        default_factory=_redial.RedialTiming
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Handler:
    body: type
    call: _ports.PeerHandler


class Links(mode.Service):
    """Implements `PeerLinks`.

    Of two nodes, the one with the lower id dials. Either side drops a link on
    which it hears nothing; the dialing side then opens a new one.
    """

    def __init__(
        self,
        own: model.NodeId,
        addresses: dict[model.NodeId, str],
        key: bytes,
        clock_: clock.Clock,
        timing: LinkTiming = LinkTiming(),
        listener: socket.socket | None = None,
        *,
        accepts_unknown_peers: bool = False,
    ) -> None:
        """Prepares links; nothing is opened before the start.

        Args:
            own: This node.
            addresses: Peer address "ip:port" of every node, this one included.
            key: Key shared by all nodes.
            clock_: Clock of the process.
            timing: Durations of the links.
            listener: Bound socket to use in place of the own address.
            accepts_unknown_peers: Whether any node that holds the key may
                connect, whatever its id; peers to dial are then added as they
                are discovered.
        """
        super().__init__()
        self._own = own
        self._addresses = addresses
        self._known = frozenset(n for n in addresses if n != own)
        self._accepts_unknown_peers = accepts_unknown_peers
        self._dialled: set[model.NodeId] = set()
        self._on_connected: list[Callable[[model.NodeId], None]] = []
        self._key = key
        self._clock = clock_
        self._timing = timing
        self._listener = listener
        self._handlers: dict[str, _Handler] = {}
        self._channels: dict[model.NodeId, _channel.Channel] = {}
        self._server: ws_server.Server | None = None

    @classmethod
    def from_settings(
        cls,
        process: settings.ProcessSettings,
        clock_: clock.Clock,
        listener: socket.socket | None = None,
    ) -> "Links":
        """Builds the links that the process settings describe.

        Raises:
            SettingsError: The shared key cannot be used.
        """
        key = settings.load_shared_key(process)
        addresses = {n.node_id: n.peer_address for n in process.nodes}
        return cls(process.node_id, addresses, key, clock_, listener=listener)

    async def on_start(self) -> None:
        """Listens, and starts to dial the nodes that this one dials."""
        where: dict[str, Any] = {"sock": self._listener}
        if self._listener is None:
            host, _, port = self._addresses[self._own].rpartition(":")
            where = {"host": host, "port": int(port)}
        self._server = await ws_server.serve(
            self._accept,
            compression=None,
            ping_interval=None,
            max_size=_channel.MAX_FRAME_BYTES,
            **where,
        )
        for peer in sorted(self._known):
            if self._own < peer or self._accepts_unknown_peers:
                self.add_peer(peer, self._addresses[peer])

    async def on_stop(self) -> None:
        """Closes every link."""
        for channel in list(self._channels.values()):
            channel.abort()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def add_peer(self, peer: model.NodeId, address: str) -> None:
        """Keeps a link to a peer from now on."""
        self._addresses[peer] = address
        if peer not in self._dialled and peer != self._own:
            self._dialled.add(peer)
            self.add_future(self._dial_on(peer))

    def remove_peer(self, peer: model.NodeId) -> None:
        """Stops dialling a peer that is gone for good."""
        self._dialled.discard(peer)

    def on_connected(self, listener: Callable[[model.NodeId], None]) -> None:
        """Registers a listener for links that were made."""
        self._on_connected.append(listener)

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        """Queues a message; it is dropped when the link is down or full."""
        self.send_all((node_id,), kind, body)

    def send_all(
        self, node_ids: Iterable[model.NodeId], kind: str, body: Any
    ) -> None:
        """Queues one message for several peers, encoding it once."""
        payload = cbor2.dumps([kind, model.to_plain(body)])
        for node_id in node_ids:
            self._send_payload(node_id, kind, payload)

    def _send_payload(
        self, node_id: model.NodeId, kind: str, payload: bytes
    ) -> None:
        channel = self._channels.get(node_id)
        if channel is None:
            _metrics.MESSAGES_DROPPED.labels("link_down").inc()
            return
        if not channel.send(payload):
            _metrics.MESSAGES_DROPPED.labels("peer_reads_slowly").inc()
            return
        _metrics.MESSAGES_SENT.labels(kind).inc()
        _metrics.BYTES_SENT.labels(kind).inc(len(payload))

    def on_message(
        self, kind: str, body: type, handler: _ports.PeerHandler
    ) -> None:
        """Registers the handler of one kind of message.

        Raises:
            ValueError: The kind has a handler already.
        """
        if kind in self._handlers:
            raise ValueError(f"message kind {kind!r} has two handlers")
        self._handlers[kind] = _Handler(body, handler)

    def connected(self) -> frozenset[model.NodeId]:
        """Returns the nodes heard from within the silence limit."""
        now_ms = self._clock.now_ms()
        return frozenset(
            c.peer
            for c in self._channels.values()
            if now_ms - c.heard_ms < self._timing.silence_ms
        )

    @mode.Service.timer(CHECK_INTERVAL_S)
    async def _check_now_and_then(self) -> None:
        self.check()

    def check(self) -> None:
        """Sends due heartbeats and drops silent links."""
        now_ms = self._clock.now_ms()
        for channel in list(self._channels.values()):
            if now_ms - channel.heard_ms >= self._timing.silence_ms:
                _metrics.LINKS_CLOSED.labels("silent").inc()
                _log.warning("peer {} is silent; link dropped", channel.peer)
                self._forget(channel)
                channel.abort()
            elif now_ms - channel.sent_ms >= self._timing.heartbeat_ms:
                channel.send(_channel.HEARTBEAT)

    async def _dial_on(self, peer: model.NodeId) -> None:
        redial = _redial.Redial(self._timing.redial)
        if self._own > peer:
            # The lower id dials first, so that both rarely dial at once.
            await self.sleep(self._timing.heartbeat_ms / 1_000)
        while not self.should_stop and peer in self._dialled:
            if peer in self._channels:
                await self.sleep(self._timing.heartbeat_ms / 1_000)
                continue
            started_ms = self._clock.now_ms()
            await self._dial(peer)
            lasted_ms = self._clock.now_ms() - started_ms
            has_links = bool(self._channels)
            wait_ms = redial.wait_ms(lasted_ms, has_links=has_links)
            await self.sleep(wait_ms / 1_000)

    async def _dial(self, peer: model.NodeId) -> None:
        try:
            async with ws_client.connect(
                f"ws://{self._addresses[peer]}/",
                compression=None,
                ping_interval=None,
                open_timeout=_channel.HANDSHAKE_TIMEOUT_S,
                close_timeout=0,
                max_size=_channel.MAX_FRAME_BYTES,
                proxy=None,
            ) as connection:
                channel = await _channel.Channel.dial(
                    connection, self._own, peer, self._key, self._clock
                )
                await self._carry(channel)
        except results.LagooncrankError as error:
            self._note_refused(peer, error)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            _log.debug("peer {} cannot be reached: {}", peer, error)

    async def _accept(self, connection: ws_server.ServerConnection) -> None:
        try:
            channel = await _channel.Channel.accept(
                connection,
                self._own,
                None if self._accepts_unknown_peers else self._known,
                self._key,
                self._clock,
            )
            await self._carry(channel)
        except results.LagooncrankError as error:
            self._note_refused("", error)

    async def _carry(self, channel: _channel.Channel) -> None:
        """Passes messages of a new link on until it ends."""
        older = self._channels.get(channel.peer)
        self._channels[channel.peer] = channel
        if older is not None:
            _metrics.LINKS_CLOSED.labels("replaced").inc()
            older.abort()
        for listener in self._on_connected:
            listener(channel.peer)
        try:
            await channel.run(lambda p: self._receive(channel.peer, p))
        finally:
            _metrics.LINKS_CLOSED.labels("closed").inc()
            self._forget(channel)

    async def _receive(self, peer: model.NodeId, payload: bytes) -> None:
        kind, plain = cbor2.loads(payload)
        handler = self._handlers.get(kind)
        if handler is None:
            _metrics.MESSAGES_DROPPED.labels("unknown_kind").inc()
            return
        try:
            body: Any = model.from_plain(plain, handler.body)
        except msgspec.ValidationError as error:
            _metrics.MESSAGES_DROPPED.labels("invalid_body").inc()
            _log.error("message {} of {} is invalid: {}", kind, peer, error)
            return
        result = handler.call(peer, body)
        if inspect.isawaitable(result):
            await result

    def _forget(self, channel: _channel.Channel) -> None:
        if self._channels.get(channel.peer) is channel:
            del self._channels[channel.peer]

    def _note_refused(self, peer: str, error: results.LagooncrankError) -> None:
        _metrics.LINKS_CLOSED.labels("refused").inc()
        _log.warning("link with {} refused: {}", peer or "a peer", error)
