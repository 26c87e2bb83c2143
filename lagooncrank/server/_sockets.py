"""TCP sockets that notice a dead peer."""

import socket
from typing import Any

#: Unacknowledged data older than this ends the connection.
USER_TIMEOUT_MS = 10_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
LISTEN_BACKLOG = 1_024


def watch_peer(sock: socket.socket) -> None:
    """Makes the kernel end `sock` when its peer is gone."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def client_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Returns an unconnected socket for one result of `getaddrinfo`."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    watch_peer(sock)
    return sock


def listener(address: str) -> socket.socket:
    """Returns a listening socket; accepted sockets inherit its options.

    Args:
        address: "ip:port"; port 0 picks a free one.

    Raises:
        OSError: The address is in use or not of this machine.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    watch_peer(sock)
    sock.bind((host.strip("[]"), int(port)))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def bound_address(sock: socket.socket) -> str:
    """Returns the "ip:port" that a socket is bound to."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
