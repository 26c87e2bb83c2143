"""Mutual authentication of two nodes by a shared key.

Every frame after the handshake has a message authentication code.
"""

import dataclasses
import hashlib
import hmac
import secrets
from typing import Final

from lagooncrank import model
from lagooncrank import results

NONCE_BYTES: Final = 16
TAG_BYTES: Final = 16
#: Changes with the format of frames or of the handshake, so that nodes of
#: incompatible versions refuse each other.
PROTOCOL: Final = "lagooncrank-links-1"


class HandshakeError(results.LagooncrankError):
    """A peer failed authentication or violated the link protocol."""

    def __init__(self, peer: str, problem: str) -> None:
        self.peer = peer
        self.problem = problem
        super().__init__(
            results.Refusal(
                results.ResultCode.PEER_UNAUTHENTICATED,
                f"peer {peer!r}: {problem}; check the shared key file and the "
                "version of both nodes",
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First handshake message of each node."""

    protocol: str
    node_id: model.NodeId
    nonce: bytes

    @classmethod
    def of(cls, node_id: model.NodeId) -> "Hello":
        """Returns the hello of a node with a new nonce."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return cls(PROTOCOL, node_id, nonce)


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Second handshake message: proves that the sender holds the key."""

    digest: bytes


class Session:
    """Authenticates the frames of one connection.

    Each direction has its own key, derived from the shared key and both
    hellos, so that no frame is valid in another connection or direction.

    >>> a, b = Hello.of(model.NodeId("a")), Hello.of(model.NodeId("b"))
    >>> dialer = Session(b"key", a, b, is_dialer=True)
    >>> acceptor = Session(b"key", a, b, is_dialer=False)
    >>> acceptor.check_proof(dialer.proof())
    >>> acceptor.open(dialer.seal(b"text"))
    b'text'
    """

    def __init__(
        self, key: bytes, dialer: Hello, acceptor: Hello, *, is_dialer: bool
    ) -> None:
        transcript = model.to_cbor([dialer, acceptor])
        #: Whether this node opened the connection.
        self.is_dialer = is_dialer
        own_label, peer_label = (b"dialer", b"acceptor")
        if not is_dialer:
            own_label, peer_label = peer_label, own_label
        self._peer = acceptor.node_id if is_dialer else dialer.node_id
        self._send_key = _derive(key, own_label, transcript)
        self._receive_key = _derive(key, peer_label, transcript)
        self._sent_count = 0
        self._received_count = 0

    def proof(self) -> Proof:
        """Returns the proof that this node holds the shared key."""
        return Proof(_derive(self._send_key, b"proof", b""))

    def check_proof(self, proof: Proof) -> None:
        """Checks the proof that the peer sent.

        Raises:
            HandshakeError: The peer does not hold the shared key.
        """
        expected = _derive(self._receive_key, b"proof", b"")
        if not hmac.compare_digest(expected, proof.digest):
            raise HandshakeError(self._peer, "its shared key differs")

    def seal(self, payload: bytes) -> bytes:
        """Returns the next frame to send: authentication tag and payload."""
        tag = _tag(self._send_key, self._sent_count, payload)
        self._sent_count += 1
        return tag + payload

    def open(self, frame: bytes) -> bytes:
        """Returns the payload of the next received frame.

        Raises:
            HandshakeError: The frame is altered, repeated or out of order.
        """
        payload = frame[TAG_BYTES:]
        expected = _tag(self._receive_key, self._received_count, payload)
        if not hmac.compare_digest(expected, frame[:TAG_BYTES]):
            raise HandshakeError(self._peer, "a frame is not authentic")
        self._received_count += 1
        return payload


def _derive(key: bytes, label: bytes, data: bytes) -> bytes:
    return hmac.digest(key, label + b"\0" + data, hashlib.sha256)


def _tag(key: bytes, sequence: int, payload: bytes) -> bytes:
    data = sequence.to_bytes(8, "little") + payload
    return hmac.digest(key, data, hashlib.sha256)[:TAG_BYTES]
