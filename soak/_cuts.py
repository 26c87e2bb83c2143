"""Entries that are cut off from all backend servers, and what they serve."""

import asyncio
import collections
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final

from soak import _disturbances
from soak import _proxy

#: Time from the beginning of a cut after which requests count.
SETTLING_S: Final = 3.0
#: Failed requests that are allowed: this many, and this fraction of all.
ALLOWED_FAILURES: Final = 10
ALLOWED_FRACTION: Final = 0.02
#: Cut-off entries must serve at least this fraction of what the others serve.
MIN_RELATIVE_RATE: Final = 2 / 3


class EntryCuts:
    """Cuts entries off at the proxies of all backend servers.

    Args:
        server_proxies: Proxies of the backend servers, as they are now.
        entry_ips: Addresses of all entries.
        disturbances: Where cuts are recorded.
    """

    def __init__(
        self,
        server_proxies: Mapping[str, _proxy.Proxy],
        entry_ips: Sequence[str],
        disturbances: _disturbances.Disturbances,
    ) -> None:
        self._server_proxies = server_proxies
        self._entry_ips = entry_ips
        self._cuts: dict[str, _proxy.CutKind] = {}
        self._disturbances = disturbances
        self._spans: dict[str, _disturbances.Span] = {}
        #: When each entry was cut off or joined last, on the event loop's
        #: clock.
        self._changed_s: dict[str, float] = {}
        #: Requests by whether their entry is cut off, and whether served.
        self._outcomes: collections.Counter[tuple[bool, bool]] = (
            collections.Counter()
        )

    async def cut(self, ip: str, kind: _proxy.CutKind) -> bool:
        """Cuts an entry off; returns whether it was not before."""
        if ip in self._cuts:
            return False
        self._cuts[ip] = kind
        now_s = asyncio.get_running_loop().time()
        self._changed_s[ip] = now_s
        self._spans[ip] = self._disturbances.begin(
            ip, _disturbances.Cause.ACCIDENT, now_s
        )
        for proxy in list(self._server_proxies.values()):
            await proxy.cut(ip, kind)
        return True

    async def join(self, ip: str) -> None:
        """Ends a cut."""
        del self._cuts[ip]
        now_s = asyncio.get_running_loop().time()
        self._changed_s[ip] = now_s
        self._spans.pop(ip).end_s = now_s
        for proxy in list(self._server_proxies.values()):
            await proxy.join(ip)

    async def apply_to(self, proxy: _proxy.Proxy) -> None:
        """Applies the cuts to the proxy of a new backend server."""
        for ip, kind in self._cuts.items():
            await proxy.cut(ip, kind)

    def group_of(self, ip: str) -> bool | None:
        """Returns whether an entry is cut off; None while that is new.

        Requests count only while some entries are cut off and others are not,
        each for long enough.
        """
        settled = {
            e: e in self._cuts for e in self._entry_ips if self._is_settled(e)
        }
        if len(set(settled.values())) < 2:
            return None
        return settled.get(ip)

    def _is_settled(self, ip: str) -> bool:
        changed_s = self._changed_s.get(ip)
        now_s = asyncio.get_running_loop().time()
        return changed_s is None or now_s - changed_s >= SETTLING_S

    def record(self, group: bool | None, *, is_served: bool) -> None:
        """Records a request, sent while its entry was in a group."""
        if group is not None:
            self._outcomes[group, is_served] += 1

    def violations(self) -> Iterator[str]:
        """Yields the guarantee if it was violated."""
        served, failed = (self._outcomes[True, s] for s in (True, False))
        other_served, other_failed = (
            self._outcomes[False, s] for s in (True, False)
        )
        total = sum(self._outcomes.values())
        if failed <= ALLOWED_FAILURES + ALLOWED_FRACTION * total:
            return
        rate = served / (served + failed)
        other_rate = other_served / max(other_served + other_failed, 1)
        if rate < MIN_RELATIVE_RATE * other_rate:
            yield (
                f"cut-off entries served {served} of {served + failed} "
                f"requests, the others {other_served} of "
                f"{other_served + other_failed}"
            )

    def summary(self) -> str:
        """Returns the numbers of served requests in both groups."""
        parts = []
        for group, name in ((True, "cut off"), (False, "others")):
            served, failed = (self._outcomes[group, s] for s in (True, False))
            parts.append(f"{name} {served} of {served + failed}")
        return ", ".join(parts)
