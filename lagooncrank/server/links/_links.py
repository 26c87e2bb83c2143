"""Maintains one link to each peer and exchanges messages over it."""

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
from lagooncrank import observed_time
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.server import _interfaces
from lagooncrank.server import _observed_timer
from lagooncrank.server.links import _channel
from lagooncrank.server.links import _handshake
from lagooncrank.server.links import _metrics
from lagooncrank.server.links import _reconnect_backoff

CHECK_INTERVAL_S: Final = 0.1

_log = logbook.Logger("lagooncrank.links")


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTiming:
    """Intervals and timeouts of the peer links, in milliseconds."""

    #: Interval at which a heartbeat is sent on an idle link.
    heartbeat_interval_ms: int = 300
    #: A link on which no frame arrives for this long, in observed time, is
    #: closed and dialled again.
    receive_timeout_ms: int = 1_200
    reconnect: _reconnect_backoff.ReconnectTiming = dataclasses.field(
        default_factory=_reconnect_backoff.ReconnectTiming
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Handler:
    body_type: type
    handle: _interfaces.PeerHandler


class Links(mode.Service):
    """Implements `PeerLinks` over WebSocket connections.

    Of two configured nodes, the one with the lower id dials. Each node closes
    a link on which no frame arrives in time; the dialling node then opens a
    new one.
    """

    def __init__(
        self,
        node_id: model.NodeId,
        addresses: dict[model.NodeId, str],
        key: bytes,
        clock_: clock.Clock,
        timing: LinkTiming = LinkTiming(),
        listener: socket.socket | None = None,
        *,
        accepts_unknown_peers: bool = False,
        observed_clock: observed_time.ObservedClock | None = None,
    ) -> None:
        """Creates the links; no socket is opened before the start.

        Args:
            node_id: This node.
            addresses: Peer address "ip:port" of every node, this one included.
            key: Key that all nodes share.
            clock_: Clock of the process.
            timing: Intervals and timeouts of the links.
            listener: Bound socket to accept peers on, in place of the address
                of this node.
            accepts_unknown_peers: Whether any node that holds the key may
                connect, whatever its id; peers to dial are then added as they
                are discovered.
            observed_clock: Observed time of the process; by default it is that
                of the checks of these links.
        """
        super().__init__()
        self._node_id = node_id
        self._addresses = addresses
        self._known_peers = frozenset(n for n in addresses if n != node_id)
        self._accepts_unknown_peers = accepts_unknown_peers
        self._peers_to_dial: set[model.NodeId] = set()
        self._on_connected: list[Callable[[model.NodeId], None]] = []
        self._key = key
        self._clock = clock_
        self._observed_clock = observed_clock or observed_time.ObservedClock(
            clock_
        )
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
        """Creates the links that the process settings describe.

        Raises:
            SettingsError: The shared key cannot be read or is too short.
        """
        key = settings.load_shared_key(process)
        addresses = {n.node_id: n.peer_address for n in process.nodes}
        return cls(process.node_id, addresses, key, clock_, listener=listener)

    async def on_start(self) -> None:
        """Starts to accept connections and to dial peers."""
        bind_arguments: dict[str, Any] = {"sock": self._listener}
        if self._listener is None:
            host, _, port = self._addresses[self._node_id].rpartition(":")
            bind_arguments = {"host": host, "port": int(port)}
        self._server = await ws_server.serve(
            self._accept,
            compression=None,
            ping_interval=None,
            max_size=_channel.MAX_FRAME_BYTES,
            **bind_arguments,
        )
        for peer in sorted(self._known_peers):
            if self._node_id < peer or self._accepts_unknown_peers:
                self.add_peer(peer, self._addresses[peer])

    async def on_stop(self) -> None:
        """Closes every link."""
        for channel in list(self._channels.values()):
            channel.abort()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def add_peer(self, peer: model.NodeId, address: str) -> None:
        """Starts to dial a peer; dials it again whenever its link closes."""
        self._addresses[peer] = address
        if peer not in self._peers_to_dial and peer != self._node_id:
            self._peers_to_dial.add(peer)
            self.add_future(self._keep_connected(peer))

    def remove_peer(self, peer: model.NodeId) -> None:
        """Stops dialling a peer that was removed permanently."""
        self._peers_to_dial.discard(peer)

    def on_connected(self, listener: Callable[[model.NodeId], None]) -> None:
        """Registers a listener that is called for each new link."""
        self._on_connected.append(listener)

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        """Queues a message; drops it if the link is down or its queue full."""
        self.send_all((node_id,), kind, body)

    def send_all(
        self, node_ids: Iterable[model.NodeId], kind: str, body: Any
    ) -> None:
        """Queues a message for several peers, encoding it once."""
        payload = cbor2.dumps([kind, model.to_builtins(body)])
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
        self, kind: str, body: type, handler: _interfaces.PeerHandler
    ) -> None:
        """Registers the handler for one kind of message.

        Raises:
            ValueError: The kind has a handler already.
        """
        if kind in self._handlers:
            raise ValueError(f"message kind {kind!r} has two handlers")
        self._handlers[kind] = _Handler(body, handler)

    def connected(self) -> frozenset[model.NodeId]:
        """Returns the peers that sent a frame within the receive timeout."""
        return frozenset(
            c.peer for c in self._channels.values() if not self._is_silent(c)
        )

    def _is_silent(self, channel: _channel.Channel) -> bool:
        silent_ms = self._observed_clock.now_ms() - channel.last_received_ms
        return silent_ms >= self._timing.receive_timeout_ms

    @mode.Service.timer(CHECK_INTERVAL_S)
    async def _check_periodically(self) -> None:
        self._observed_clock.tick()
        self.check_links()

    def check_links(self) -> None:
        """Sends due heartbeats and closes unresponsive links."""
        now_ms = self._clock.now_ms()
        for channel in list(self._channels.values()):
            if self._is_silent(channel):
                _metrics.LINKS_CLOSED.labels("silent").inc()
                _log.warning(
                    "peer {} is unresponsive; closing its link", channel.peer
                )
                self._remove_channel(channel)
                channel.abort()
            elif (
                now_ms - channel.last_sent_ms
                >= self._timing.heartbeat_interval_ms
            ):
                channel.send(_channel.HEARTBEAT)

    async def _keep_connected(self, peer: model.NodeId) -> None:
        backoff = _reconnect_backoff.ReconnectBackoff(self._timing.reconnect)
        if self._node_id > peer:
            # Delays the node with the higher id, so that both nodes seldom dial
            # each other at the same time.
            await self.sleep(self._timing.heartbeat_interval_ms / 1_000)
        while not self.should_stop and peer in self._peers_to_dial:
            if peer in self._channels:
                await self.sleep(self._timing.heartbeat_interval_ms / 1_000)
                continue
            started_ms = self._clock.now_ms()
            await self._dial(peer)
            link_lifetime_ms = self._clock.now_ms() - started_ms
            has_links = bool(self._channels)
            wait_ms = backoff.wait_ms(link_lifetime_ms, has_links=has_links)
            await self.sleep(wait_ms / 1_000)

    async def _dial(self, peer: model.NodeId) -> None:
        try:
            async with await self._connect(peer) as connection:
                channel = await _channel.Channel.dial(
                    connection,
                    self._node_id,
                    peer,
                    self._key,
                    self._clock,
                    self._observed_clock,
                )
                await self._run_channel(channel)
        except results.LagooncrankError as error:
            self._record_refusal(peer, error)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            _log.debug("peer {} is unreachable: {}", peer, error)
        except Exception:
            # An unexpected error of one link must not end the process.
            _metrics.LINKS_CLOSED.labels("internal_error").inc()
            _log.exception("the link with peer {} failed", peer)

    async def _connect(self, peer: model.NodeId) -> ws_client.ClientConnection:
        async with _observed_timer.timeout(
            self._observed_clock, _channel.HANDSHAKE_TIMEOUT_MS
        ):
            return await ws_client.connect(
                f"ws://{self._addresses[peer]}/",
                compression=None,
                ping_interval=None,
                open_timeout=None,
                close_timeout=0,
                max_size=_channel.MAX_FRAME_BYTES,
                proxy=None,
            )

    async def _accept(self, connection: ws_server.ServerConnection) -> None:
        try:
            channel = await _channel.Channel.accept(
                connection,
                self._node_id,
                None if self._accepts_unknown_peers else self._known_peers,
                self._key,
                self._clock,
                self._observed_clock,
            )
            await self._run_channel(channel)
        except results.LagooncrankError as error:
            self._record_refusal("", error)

    async def _run_channel(self, channel: _channel.Channel) -> None:
        """Handles the messages of a new link until it closes."""
        previous = self._channels.get(channel.peer)
        if previous is not None and self._has_precedence(previous, channel):
            _metrics.LINKS_CLOSED.labels("replaced").inc()
            channel.abort()
            return
        self._channels[channel.peer] = channel
        if previous is not None:
            _metrics.LINKS_CLOSED.labels("replaced").inc()
            previous.abort()
        try:
            for listener in self._on_connected:
                listener(channel.peer)
            await channel.run(
                lambda payload: self._receive(channel.peer, payload)
            )
        finally:
            _metrics.LINKS_CLOSED.labels("closed").inc()
            self._remove_channel(channel)

    def _has_precedence(
        self, previous: _channel.Channel, channel: _channel.Channel
    ) -> bool:
        """Whether an earlier link to a peer is kept instead of a new one.

        Two nodes that dial each other at the same time have two links, and see
        them made in different orders. Both keep the one that the node with the
        lower id dialled. Else the new one counts: who dials has none any more.
        """
        is_lower = self._node_id < channel.peer
        return (
            previous.is_connected
            and previous.is_dialer is is_lower
            and channel.is_dialer is not is_lower
        )

    async def _receive(self, peer: model.NodeId, payload: bytes) -> None:
        """Passes a message to the handler of its kind.

        Raises:
            HandshakeError: The message is not a pair of kind and body.
        """
        kind, plain_body = _decode(peer, payload)
        handler = self._handlers.get(kind)
        if handler is None:
            _metrics.MESSAGES_DROPPED.labels("unknown_kind").inc()
            return
        try:
            body: Any = model.from_builtins(plain_body, handler.body_type)
        except msgspec.ValidationError as error:
            _metrics.MESSAGES_DROPPED.labels("invalid_body").inc()
            _log.error(
                "message of kind {} from peer {} is invalid: {}",
                kind,
                peer,
                error,
            )
            return
        try:
            result = handler.handle(peer, body)
            if inspect.isawaitable(result):
                await result
        except Exception:
            # The peer would send it again after each new connection, so that
            # this node would follow nothing any more.
            _metrics.MESSAGES_DROPPED.labels("handler_failed").inc()
            _log.exception(
                "message of kind {} from peer {} was not handled", kind, peer
            )

    def _remove_channel(self, channel: _channel.Channel) -> None:
        if self._channels.get(channel.peer) is channel:
            del self._channels[channel.peer]

    def _record_refusal(
        self, peer: str, error: results.LagooncrankError
    ) -> None:
        _metrics.LINKS_CLOSED.labels("refused").inc()
        _log.warning("link with {} refused: {}", peer or "unknown peer", error)


def _decode(peer: model.NodeId, payload: bytes) -> tuple[str, Any]:
    """Returns the kind and the body of a message.

    Raises:
        HandshakeError: The message is not a pair of kind and body.
    """
    try:
        kind, plain_body = cbor2.loads(payload)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise _handshake.HandshakeError(
            peer, f"it sent a malformed message: {error}"
        ) from error
    if not isinstance(kind, str):
        raise _handshake.HandshakeError(
            peer, "it sent a message without a kind"
        )
    return kind, plain_body
