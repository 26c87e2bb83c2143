"""Fake backend servers that check the orders and requests they receive."""

from collections.abc import Mapping
from typing import Final

from aiohttp import web
from lagooncrank_platform.tests import provider_protocol

from lagooncrank import clock as clocks
from soak import _checks
from soak import _crashes
from soak import _disturbances
from soak import _history
from soak import _lasting_server

#: Requests that an engine runs at once, as its reports say.
SLOTS: Final = 4
_OPEN = "open"
_SERVING_PHASES = (_OPEN, "closing")


class CheckingServer(_lasting_server.LastingServer):
    """A fake engine or plain server that reports invalid orders and runs.

    Args:
        server_id: Id of this server.
        service: Service that it serves.
        controls: Addresses of the control nodes that it reports to.
        domain: Its fabric domain; empty for a plain server.
        history: Receives the runs of this server and the violations that it
            finds.
        servers: All servers of the deployment by id, as they are now.
        checks: Receives arrivals and disturbances, if given.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        controls: list[str],
        domain: str,
        history: _history.RequestHistory,
        servers: Mapping[str, "CheckingServer"],
        checks: _checks.Checks | None = None,
    ) -> None:
        super().__init__(server_id, service, controls, domain)
        self._history = history
        self._servers = servers
        self._members: list[str] = []
        self._ready_epochs: set[int] = set()
        if domain:
            # An engine turns away what does not fit.
            self.free_slots = SLOTS
        self.is_running = True
        self.crashing_body = _crashes.CRASHING_BODY
        self.crashing_part = _crashes.CRASHING_PART
        self._checks = checks
        #: Records what the soak does to this server.
        self.watch: _disturbances.Watch | None = None
        if checks is not None:
            self.watch = _disturbances.Watch(
                checks.disturbances, server_id, checks.now_s
            )

    def next_start(self) -> int:
        """Returns the Unix time, as real servers state it."""
        return clocks.SystemClock().wall_ms()

    def was_ready_in_epoch(self, epoch: int) -> bool:
        """Whether this server was ever ready in a group's epoch."""
        return epoch in self._ready_epochs

    def on_join(self, epoch: int, members: list[str]) -> None:
        """Checks that this server's previous group is not serving any more."""
        if self.epoch not in (None, epoch):
            self._check_head_of_previous_group(epoch)
        self._members = members
        # A join takes effect at once and is reported as ready.
        self._ready_epochs.add(epoch)

    def _check_head_of_previous_group(self, epoch: int) -> None:
        head = self._servers.get(self._members[0])
        if head is None or not head.is_running or head.epoch != self.epoch:
            return
        if head.member_state in _SERVING_PHASES:
            self._history.record_violation(
                f"{self.server_id} was ordered to join epoch {epoch} "
                f"while epoch {self.epoch} was serving"
            )

    def may_run(self) -> bool:
        """Whether this server is the head of an open group or a plain server.

        Checks that every member of the open group has been ready in it.
        """
        if not self._domain:
            return True
        if self.epoch is None or self.member_state != _OPEN:
            return False
        for member in self._members:
            server = self._servers.get(member)
            if server is None or not server.was_ready_in_epoch(self.epoch):
                self._history.record_violation(
                    f"{self.server_id} serves epoch {self.epoch}, in which "
                    f"{member} was never ready"
                )
        return True

    def on_arrival(self, attempt_id: str, limit_ms: int | None) -> None:
        """Records an arrival for the retry budget and its deadline."""
        if self._checks is not None:
            self._checks.record_arrival(
                self.service, self.server_id, attempt_id, limit_ms
            )

    def on_passed(self, attempt_id: str, arrived_s: float) -> None:
        """Records a request that may have come too late."""
        if self._checks is not None:
            self._checks.left_servers.record_arrival(
                self.server_id, attempt_id, arrived_s
            )

    def _refuse(self, headers: dict[str, str]) -> web.Response:
        rest = headers.get("Retry-After")
        if self._checks is not None and rest is not None:
            self._checks.record_rest(
                self.server_id,
                provider_protocol.response_attempt_id(headers) or "",
                float(rest),
            )
        return super()._refuse(headers)

    async def _respond_with_crash(
        self, request: web.Request
    ) -> web.StreamResponse:
        response = await super()._respond_with_crash(request)
        attempt_id = provider_protocol.response_attempt_id(request.headers)
        if self._checks is not None and attempt_id is not None:
            self._checks.record_crash(attempt_id)
        if self.watch is not None:
            self.watch.add()
        return response

    def on_left(self) -> None:
        """Records that the system knows of the leaving."""
        if self._checks is not None:
            self._checks.left_servers.record_left(
                self.server_id, self._checks.now_s()
            )

    def on_run(self, attempt_id: str) -> None:
        """Records the start of a run."""
        self._history.record_run(attempt_id, self.server_id)
