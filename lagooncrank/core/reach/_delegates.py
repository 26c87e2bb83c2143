"""Choice of the entry that serves a request in this entry's place."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
from typing import Final

from lagooncrank import model
from lagooncrank.core import fleet

#: Number of other entries that an entry delegates to, whatever the size of the
#: fleet: it bounds the connections between entries.
MAX_DELEGATES: Final = 4


def choose_delegate(
    entries: Iterable[fleet.OpenEntry],
    own_address: str,
    service: model.ServiceName,
    avoided: Collection[str],
    in_flight: Mapping[str, int],
    draws: tuple[float, float],
) -> fleet.OpenEntry | None:
    """Returns the entry to delegate a request to; None if there is none.

    It is the less loaded of two random ones among the few that a hash assigns
    to this entry, so that entries that are cut off together use different ones.

    Args:
        entries: Entries that accept new requests, with what they reach.
        own_address: Address of this entry for callers.
        service: Service of the request.
        avoided: Delegation addresses that failed; never used.
        in_flight: Own delegated requests by delegation address.
        draws: Random numbers, 0.0 to 1.0, that select two entries.
    """
    usable = [
        e
        for e in entries
        if e.delegation_address
        and e.address != own_address
        and service not in e.unreached
        and e.delegation_address not in avoided
    ]
    assigned = sorted(
        usable, key=lambda e: _rank(own_address, e.delegation_address)
    )[:MAX_DELEGATES]
    if not assigned:
        return None
    drawn = [
        assigned[min(int(d * len(assigned)), len(assigned) - 1)] for d in draws
    ]
    return min(drawn, key=lambda e: in_flight.get(e.delegation_address, 0))


def _rank(own_address: str, delegation_address: str) -> bytes:
    """Returns the order of an entry for this one (rendezvous hashing)."""
    text = f"{own_address}\0{delegation_address}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
