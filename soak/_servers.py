"""Stand-in servers that check the orders and requests they are given."""

from collections.abc import Mapping

from lagooncrank_platform.tests import fake_server

from soak import _ledger

_OPEN = "open"
_SERVING = (_OPEN, "closing")


class CheckedServer(fake_server.FakeServer):
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

    def on_join(self, epoch: int, members: list[str]) -> None:
        """Checks that no member leaves a group whose head serves."""
        if self.epoch not in (None, epoch):
            self._check_head_of_old_group(epoch)
        self._members = members
        # A join takes effect at once and is reported as ready.
        self._ready_epochs.add(epoch)

    def _check_head_of_old_group(self, epoch: int) -> None:
        head = self._others.get(self._members[0])
        if head is None or not head.is_running or head.epoch != self.epoch:
            return
        if head.phase in _SERVING:
            self._ledger.problem(
                f"{self.server_id} was told to join epoch {epoch} "
                f"while epoch {self.epoch} serves"
            )

    def may_run(self) -> bool:
        """Refuses what no open group here may run; checks the members."""
        if not self._domain:
            return True
        if self.epoch is None or self.phase != _OPEN:
            return False
        for member in self._members:
            other = self._others.get(member)
            if other is None or not other.was_ready_in(self.epoch):
                self._ledger.problem(
                    f"{self.server_id} serves epoch {self.epoch}, in which "
                    f"{member} was never ready"
                )
        return True

    def on_run(self, attempt_id: str) -> None:
        """Notes a run for the check at the end."""
        self._ledger.ran(attempt_id, self.server_id)
