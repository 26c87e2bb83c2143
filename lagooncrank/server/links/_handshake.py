"""Mutual authentication by a shared key, and checksums keyed by it."""

import dataclasses
import hashlib
import hmac
import secrets
from typing import Final

from lagooncrank import model
from lagooncrank import results

NONCE_BYTES: Final = 16
TAG_BYTES: Final = 16
#: Raised when frames or handshake change, so that versions do not mix.
PROTOCOL: Final = "lagooncrank-links-1"


class HandshakeError(results.LagooncrankError):
    """The other side did not prove that it holds the shared key."""

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
    """First message of each side."""

    protocol: str
    node_id: model.NodeId
    nonce: bytes

    @classmethod
    def of(cls, node_id: model.NodeId) -> "Hello":
        """Makes the hello of a node for one connection."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return cls(PROTOCOL, node_id, nonce)


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Second message of each side: shows that it holds the key."""

    digest: bytes


class Session:
    """Keys of one connection, derived from both hellos.

    >>> a, b = Hello.of(model.NodeId("a")), Hello.of(model.NodeId("b"))
    >>> dialer = Session(b"key", a, b, is_dialer=True)
    >>> acceptor = Session(b"key", a, b, is_dialer=False)
    >>> acceptor.check(dialer.proof())
    >>> acceptor.open(dialer.seal(b"text"))
    b'text'
    """

    def __init__(
        self, key: bytes, dialer: Hello, acceptor: Hello, *, is_dialer: bool
    ) -> None:
        transcript = model.to_cbor([dialer, acceptor])
        own, other = (b"dialer", b"acceptor")
        if not is_dialer:
            own, other = other, own
        self._peer = acceptor.node_id if is_dialer else dialer.node_id
        self._send_key = _derive(key, own, transcript)
        self._receive_key = _derive(key, other, transcript)
        self._sent = 0
        self._received = 0

    def proof(self) -> Proof:
        """Returns what shows the other side that this one holds the key."""
        return Proof(_derive(self._send_key, b"proof", b""))

    def check(self, proof: Proof) -> None:
        """Checks the other side's proof.

        Raises:
            HandshakeError: The other side does not hold the key.
        """
        wanted = _derive(self._receive_key, b"proof", b"")
        if not hmac.compare_digest(wanted, proof.digest):
            raise HandshakeError(self._peer, "wrong shared key")

    def seal(self, payload: bytes) -> bytes:
        """Returns the next frame to send."""
        tag = _tag(self._send_key, self._sent, payload)
        self._sent += 1
        return tag + payload

    def open(self, frame: bytes) -> bytes:
        """Returns the payload of the next frame received.

        Raises:
            HandshakeError: The frame was changed, repeated or left out.
        """
        payload = frame[TAG_BYTES:]
        wanted = _tag(self._receive_key, self._received, payload)
        if not hmac.compare_digest(wanted, frame[:TAG_BYTES]):
            raise HandshakeError(self._peer, "a frame is not authentic")
        self._received += 1
        return payload


def _derive(key: bytes, label: bytes, data: bytes) -> bytes:
    return hmac.digest(key, label + b"\0" + data, hashlib.sha256)


def _tag(key: bytes, sequence: int, payload: bytes) -> bytes:
    data = sequence.to_bytes(8, "little") + payload
    return hmac.digest(key, data, hashlib.sha256)[:TAG_BYTES]
