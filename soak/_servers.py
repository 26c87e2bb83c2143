"""Stand-in servers that check the orders and requests they are given."""

from collections.abc import Mapping
from typing import Any

from aiohttp import web
from lagooncrank_platform.tests import stand_in

from soak import _ledger

_SERVING = ("open", "closing")


class CheckedServer(stand_in.StandIn):
    """An engine or a plain server that runs only what it should be asked."""

    def __init__(
        self,
        server_id: str,
        service: str,
        controls: list[str],
        domain: str,
        ledger: _ledger.Ledger,
        others: Mapping[str, "CheckedServer"],
    ) -> None:
        super().__init__(server_id, service, controls, domain)
        self._ledger = ledger
        self._others = others
        self._members: list[str] = []
        self._ready_epochs: set[int] = set()
        self.is_running = True

    def was_ready_in(self, epoch: int) -> bool:
        """Whether this server was ever ready in a group's epoch."""
        return epoch in self._ready_epochs

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order["operation"] == "join":
            self._check_join(order)
            self._members = list(order["members"])
            # A join takes effect at once and is reported as ready.
            self._ready_epochs.add(int(order["epoch"]))
        return await super()._order(request)

    def _check_join(self, order: dict[str, Any]) -> None:
        """A member may not leave a group whose head serves."""
        if self.group is None or self.group["epoch"] == order["epoch"]:
            return
        head = self._others.get(self._members[0])
        if head is None or not head.is_running or head.group is None:
            return
        is_same = head.group["epoch"] == self.group["epoch"]
        if is_same and head.group["state"] in _SERVING:
            self._ledger.problem(
                f"{self.server_id} was told to join epoch {order['epoch']} "
                f"while epoch {self.group['epoch']} serves"
            )

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers.get("Attempt-Id", "")
        refusal = self._refusal(attempt_id)
        if refusal is not None:
            return refusal
        if not self.is_full:
            self._ledger.ran(attempt_id, self.server_id)
        return await super()._serve(request)

    def _refusal(self, attempt_id: str) -> web.Response | None:
        """Returns the answer to a request that no group here may run."""
        if not self._domain:
            return None
        if self.group is None or self.group["state"] != "open":
            headers = {"Attempt-Id": attempt_id, "Not-Executed": "no group"}
            return web.Response(status=421, headers=headers)
        epoch = int(self.group["epoch"])
        for member in self._members:
            other = self._others.get(member)
            if other is None or not other.was_ready_in(epoch):
                self._ledger.problem(
                    f"{self.server_id} serves epoch {epoch}, in which "
                    f"{member} was never ready"
                )
        return None
