"""How an entry obtains and uses permits."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Final

from lagooncrank import model
from lagooncrank.core.limits import _issuer
from lagooncrank.core.limits import _issuing_node
from lagooncrank.core.limits import _limit_table
from lagooncrank.core.limits import _types
from lagooncrank.core.limits import _wallet

#: Observed time after which a request without a response counts as lost.
RESPONSE_TIMEOUT_MS: Final = 300
#: Time after which another node issues the permits of one without a link.
REPLACED_AFTER_MS: Final = 2_000
#: Time for which a node that did not respond issues no permits for this entry.
PASSED_OVER_MS: Final = 3_000


class PermitClient:
    """Permits of one entry, and its requests for further ones."""

    def __init__(
        self, node_id: model.NodeId, table: _limit_table.LimitTable
    ) -> None:
        self._node_id = node_id
        self._table = table
        self._wallet = _wallet.PermitWallet()
        #: When each issuing node was first asked without a response since, in
        #: observed time.
        self._unanswered_ms: dict[model.NodeId, int] = {}
        self._passed_over_until_ms: dict[model.NodeId, int] = {}
        #: Since when control nodes that were connected no longer are.
        self._missing_since_ms: dict[model.NodeId, int] = {}
        self._connected: set[model.NodeId] = set()
        #: Permits that were not used in time, since the last `pop_expired`.
        self._expired = 0

    def count(self, process: _types.Process, now_ms: int) -> int:
        """Returns the number of permits that the entry holds."""
        self._expired += self._wallet.pop_expired(process, now_ms)
        return self._wallet.count(process)

    def use(self, process: _types.Process, now_ms: int) -> bool:
        """Uses a permit; returns whether there was one."""
        return self.count(process, now_ms) > 0 and self._wallet.take(process)

    def pop_expired(self) -> int:
        """Returns how many permits expired unused since the last call."""
        expired = self._expired
        self._expired = 0
        return expired

    def wait_ms(self, process: _types.Process, now_ms: int) -> int:
        """Returns the estimated time until the entry has a permit."""
        if self.count(process, now_ms):
            return 0
        return self._wallet.wait_ms(process, now_ms)

    def request(
        self,
        processes: Sequence[_types.Process],
        needed: int,
        control_nodes: Iterable[model.NodeId],
        now_ms: int,
        observed_ms: int,
    ) -> Mapping[model.NodeId, _types.PermitRequests]:
        """Requests permits for limited processes, unless enough are on the way.

        Args:
            processes: Processes that any of the requests may be sent to.
            needed: Number of requests that permits are needed for.
            control_nodes: Control nodes with a live link.
            now_ms: Monotonic time in milliseconds.
            observed_ms: Time in which this node could notice a response.

        Returns:
            Messages by the node that issues the permits; this entry itself if
            there is no other.
        """
        self._update_connected(set(control_nodes), now_ms)
        batches: dict[model.NodeId, list[_types.PermitRequest]] = {}
        for process, count in self._choose(processes, needed, now_ms):
            self._wallet.record_request(process, now_ms)
            issuer = self._issuing_node(process, now_ms, observed_ms)
            batches.setdefault(issuer, []).append(
                _types.PermitRequest(
                    self._table.report(process, now_ms),
                    count,
                    _wallet.PERMIT_TTL_MS,
                )
            )
        for issuer in batches:
            self._unanswered_ms.setdefault(issuer, observed_ms)
        return {
            issuer: _types.PermitRequests(tuple(requests))
            for issuer, requests in batches.items()
        }

    def record_response(self, sender: model.NodeId) -> None:
        """Records that a node has responded to requests for permits."""
        self._unanswered_ms.pop(sender, None)

    def add(self, batch: _types.PermitGrants, now_ms: int) -> None:
        """Adds the permits of a response."""
        for grant in batch.grants:
            if self._table.rate_per_s(grant.process) is not None:
                self._wallet.add(grant, now_ms)

    def forget(self, process: _types.Process) -> None:
        """Removes everything about a process that has no limit any more."""
        self._wallet.forget(process)

    def _choose(
        self, processes: Sequence[_types.Process], needed: int, now_ms: int
    ) -> Iterable[tuple[_types.Process, int]]:
        """Yields the processes to request permits for, with their number."""
        idle = []
        for process in processes:
            needed -= self.count(process, now_ms)
            if self._wallet.is_requested(process, now_ms):
                needed -= 1
            else:
                idle.append(process)
        # Those that have permits soonest; at random among equals, so that
        # entries do not all ask for the same process.
        random.shuffle(idle)
        idle.sort(key=lambda p: self._wallet.wait_ms(p, now_ms))
        for process in idle:
            if needed <= 0:
                return
            count = min(needed, self._batch_size(process))
            needed -= count
            yield process, count

    def _batch_size(self, process: _types.Process) -> int:
        """Returns for how many permits a request is at most."""
        rate_per_s = self._table.rate_per_s(process) or 0.0
        return max(int(rate_per_s * _issuer.BURST_MS / _issuer.MS_PER_S), 1)

    def _update_connected(
        self, connected: set[model.NodeId], now_ms: int
    ) -> None:
        for node in self._connected - connected:
            self._missing_since_ms[node] = now_ms
            self._unanswered_ms.pop(node, None)
        for node in connected:
            self._missing_since_ms.pop(node, None)
        for node, since_ms in list(self._missing_since_ms.items()):
            if now_ms - since_ms >= REPLACED_AFTER_MS:
                del self._missing_since_ms[node]
        self._connected = connected

    def _issuing_node(
        self, process: _types.Process, now_ms: int, observed_ms: int
    ) -> model.NodeId:
        """Returns the node that issues permits of a process to this entry.

        If other entries may still reach a node that this one does not, it uses
        its own share meanwhile: with another issuer they would use twice the
        limit.
        """
        nodes = self._connected.union(self._missing_since_ms)
        issuer = _issuing_node.issuing_node(process, nodes)
        if issuer not in self._connected or not self._responds(
            issuer, now_ms, observed_ms
        ):
            return self._node_id
        return issuer

    def _responds(
        self, node: model.NodeId, now_ms: int, observed_ms: int
    ) -> bool:
        """Returns whether a node responds, as far as is known."""
        since_ms = self._unanswered_ms.get(node, observed_ms)
        if observed_ms - since_ms >= RESPONSE_TIMEOUT_MS:
            del self._unanswered_ms[node]
            self._passed_over_until_ms[node] = now_ms + PASSED_OVER_MS
        return now_ms >= self._passed_over_until_ms.get(node, 0)
