"""Checks that an entry is ready to accept new work."""

from collections.abc import Iterator
import contextlib

from aiohttp import web

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import state
from lagooncrank.server import _entries
from lagooncrank.server import _interfaces
from lagooncrank.server import _lifecycle
from lagooncrank.server.http import _auth


class ReadinessGate:
    """Accepts requests while the entry is serving and its lease is valid."""

    def __init__(
        self,
        shared: _interfaces.SharedState,
        lifecycle: _lifecycle.Lifecycle,
        directory: _entries.EntryDirectory,
    ) -> None:
        self._shared = shared
        self._lifecycle = lifecycle
        self._directory = directory
        self._authenticator = _auth.Authenticator(shared)

    @contextlib.contextmanager
    def accept_request(
        self, request: web.Request
    ) -> Iterator[model.ClientAccount]:
        """Authenticates a request and counts it as in flight.

        Yields the client account of the request.

        Raises:
            LagooncrankError: The entry accepts no new work, or the key of the
                request is missing or unknown.
        """
        self.current_configuration()
        account = self._authenticator.authenticate_account(request)
        self._check_phase()
        with self._lifecycle.count_in_flight():
            yield account

    def _check_phase(self) -> None:
        if self._lifecycle.phase is _lifecycle.Phase.DRAINING:
            raise results.error(
                results.ResultCode.STOPPING,
                "this entry is stopping; retry at another entry: "
                f"{self._other_addresses()}",
            )

    def _other_addresses(self) -> str:
        return ", ".join(self._directory.other_addresses()) or "none is known"

    def count_in_flight(self) -> contextlib.AbstractContextManager[None]:
        """Counts work as in flight whose caller may have disconnected."""
        return self._lifecycle.count_in_flight()

    def current_configuration(self) -> state.ConfigurationRecord:
        """Returns the configuration that applies to new work.

        Raises:
            LagooncrankError: There is none, or the lease has expired.
        """
        record = self._shared.view.configuration
        if not self._shared.lease_holds():
            raise results.error(
                results.ResultCode.CONFIGURATION_STALE,
                "this entry lost contact with the quorum; retry at another "
                f"entry: {self._other_addresses()}",
            )
        if record is None:
            raise results.error(
                results.ResultCode.NO_CONFIGURATION,
                "no declarations were applied yet",
            )
        return record
