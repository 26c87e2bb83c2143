"""Free ports for the listeners of tests, the demo and the benchmarks.

A port that is free now may be taken by the time its listener starts, above all
after a process was killed and before it is started again. The kernel gives
outgoing connections ports of one range; listeners get theirs outside it.
"""

import contextlib
import pathlib
import random
import socket
from typing import Final

from standins import _process

_ALL_ADDRESSES: Final = ""
#: Ports below are those of widely known services.
_FIRST_PORT: Final = 10_000
_END_OF_PORTS: Final = 65_536
_EPHEMERAL_RANGE_FILE: Final = pathlib.Path(
    "/proc/sys/net/ipv4/ip_local_port_range"
)
_CANDIDATES_PER_PORT: Final = 100

#: Other processes choose at the same time, so no seed is wanted.
_random = random.SystemRandom()
_handed_out: set[int] = set()


class NoFreePortError(Exception):
    """Too few ports are free."""

    def __init__(self, tried: int) -> None:
        super().__init__(
            f"too few of {tried} ports are free; end what listens on them"
        )
        self.tried = tried


def ephemeral_ports() -> range:
    """Returns the ports that the kernel gives outgoing connections."""
    first, last = _EPHEMERAL_RANGE_FILE.read_text().split()
    return range(int(first), int(last) + 1)


def free_ports(count: int) -> list[int]:
    """Returns different ports that nobody listens on, on any address.

    Ports are not handed out twice in a process.

    Raises:
        NoFreePortError: Nearly all ports are in use.
    """
    candidates = _candidates()
    tried = _random.sample(
        candidates, min(len(candidates), count * _CANDIDATES_PER_PORT)
    )
    found: list[int] = []
    for port in tried:
        if len(found) == count:
            break
        if _is_free(port):
            found.append(port)
    if len(found) < count:
        raise NoFreePortError(len(tried))
    _handed_out.update(found)
    return found


def free_port() -> int:
    """Returns a port that nobody listens on, on any address."""
    return free_ports(1)[0]


def free_addresses(count: int) -> list[str]:
    """Returns loopback addresses "ip:port" that nobody listens on."""
    return [f"{_process.LOOPBACK}:{port}" for port in free_ports(count)]


def _candidates() -> list[int]:
    unused = [
        port
        for port in range(_FIRST_PORT, _END_OF_PORTS)
        if port not in _handed_out
    ]
    ephemeral = ephemeral_ports()
    # A machine may give outgoing connections all ports.
    return [port for port in unused if port not in ephemeral] or unused


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as sock:
        # A listener that starts at this moment is not kept from its port.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((_ALL_ADDRESSES, port))
        except OSError:
            return False
    return True
