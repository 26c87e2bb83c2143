"""Choice of the entry that serves a request in this entry's place."""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
from typing import Final

#: Number of other entries that an entry delegates to, whatever the size of the
#: fleet: it bounds the connections between entries.
MAX_DELEGATES: Final = 4


def choose_delegate(
    addresses: Iterable[str],
    own_address: str,
    in_flight: Mapping[str, int],
    draws: tuple[float, float],
) -> str | None:
    """Returns the entry to delegate a request to; None if there is none.

    It is the less loaded of two random ones among the few that a hash assigns
    to this entry, so that entries that are cut off together use different ones.

    Args:
        addresses: Addresses of the entries that may serve the request.
        own_address: Address of this entry.
        in_flight: Own delegated requests by address.
        draws: Random numbers, 0.0 to 1.0, that select two entries.
    """
    ranked = sorted(addresses, key=lambda a: _rank(own_address, a))
    assigned = ranked[:MAX_DELEGATES]
    if not assigned:
        return None
    last = len(assigned) - 1
    drawn = [assigned[min(int(d * len(assigned)), last)] for d in draws]
    return min(drawn, key=lambda a: in_flight.get(a, 0))


def _rank(own_address: str, address: str) -> bytes:
    """Returns the order of an entry for this one (rendezvous hashing)."""
    text = f"{own_address}\0{address}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
