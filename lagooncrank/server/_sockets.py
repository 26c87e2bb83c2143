"""TCP sockets that detect a dead peer."""

import asyncio
import socket
import struct
from typing import Any

#: The kernel closes a connection once data is unacknowledged for this time.
USER_TIMEOUT_MS = 10_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
LISTEN_BACKLOG = 1_024

#: Value of SO_LINGER: on, with no time to send what is left.
_NO_LINGER = struct.pack("ii", 1, 0)


def detect_dead_peer(sock: socket.socket) -> None:
    """Makes the kernel close `sock` when its peer no longer responds."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Makes the closing of a connection reset it."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def client_socket(
    address_info: tuple[Any, ...], source_ip: str = ""
) -> socket.socket:
    """Returns an unconnected socket for one result of `getaddrinfo`.

    Args:
        address_info: The result of `getaddrinfo`.
        source_ip: Local address to connect from; empty for the kernel's choice.

    Raises:
        OSError: The local address is not one of this machine.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    detect_dead_peer(sock)
    # Otherwise a listener of this node that needs the port cannot start until
    # the connection is forgotten, which takes the kernel a minute.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if source_ip:
        try:
            # The port is chosen by `connect`, for this destination alone.
            sock.setsockopt(
                socket.IPPROTO_IP, socket.IP_BIND_ADDRESS_NO_PORT, 1
            )
            sock.bind((source_ip, 0))
        except OSError:
            sock.close()
            raise
    return sock


def listener(address: str) -> socket.socket:
    """Returns a listening socket, whose options accepted sockets inherit.

    Args:
        address: "ip:port"; port 0 selects a free port.

    Raises:
        OSError: The address is in use or not one of this machine.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    detect_dead_peer(sock)
    sock.bind((host.strip("[]"), int(port)))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def bound_address(sock: socket.socket) -> str:
    """Returns the "ip:port" to which a socket is bound."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
