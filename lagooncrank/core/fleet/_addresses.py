"""Which server each address belongs to.

An address may be used again by a server that started later. The report of
another writer may state an address in use as well; so the server that had it
gets it back if it reports on while the other does not.
"""

from lagooncrank import model
from lagooncrank.core.fleet import _challenges


class AddressHolders:
    """Newest holder of each address.

    Times are those for which this node was connected.
    """

    def __init__(self, unreachable_after_ms: int) -> None:
        self._min_spread_ms = _challenges.min_spread_ms(unreachable_after_ms)
        self._holders: dict[str, model.BackendServerId] = {}
        #: When servers first reported after the holder of their address, which
        #: started later, had become unreachable.
        self._reclaimed_since_ms: dict[model.BackendServerId, int] = {}

    def holder(self, address: str) -> model.BackendServerId | None:
        """Returns the server at an address, if any is known."""
        return self._holders.get(address)

    def may_assign(
        self,
        report: model.ServerReport,
        holder: model.ServerReport,
        now_ms: int,
        *,
        is_holder_unreachable: bool,
    ) -> bool:
        """Returns whether a server gets the address that it reports.

        Args:
            report: Report of the server.
            holder: Report of the other server that holds the address.
            now_ms: Connected time.
            is_holder_unreachable: Whether the holder sent no report for long.
        """
        if holder.born_ms <= report.born_ms:
            return True
        if not is_holder_unreachable:
            self._reclaimed_since_ms.pop(report.server_id, None)
            return False
        since_ms = self._reclaimed_since_ms.setdefault(report.server_id, now_ms)
        return now_ms - since_ms >= self._min_spread_ms

    def assign(self, report: model.ServerReport) -> None:
        """Records the server that reports an address as its holder."""
        self._holders[report.address] = report.server_id
        self._reclaimed_since_ms.pop(report.server_id, None)

    def release(self, report: model.ServerReport) -> None:
        """Forgets the address of a server, if it is the holder."""
        if self._holders.get(report.address) == report.server_id:
            del self._holders[report.address]
