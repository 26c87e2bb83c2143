"""What must hold before an entry takes new work."""

from collections.abc import Iterator
import contextlib

from aiohttp import web

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import state
from lagooncrank.server import _lifecycle
from lagooncrank.server import _ports
from lagooncrank.server.http import _auth
from lagooncrank.server.http import _problem


class Gate:
    """Lets requests in while the entry serves and its lease holds."""

    def __init__(
        self,
        shared: _ports.SharedState,
        lifecycle: _lifecycle.Lifecycle,
    ) -> None:
        self._shared = shared
        self._lifecycle = lifecycle
        self._authenticator = _auth.Authenticator(shared)

    @contextlib.contextmanager
    def entered(self, request: web.Request) -> Iterator[model.ClientAccount]:
        """Counts a request as in flight and yields its client account.

        Raises:
            LagooncrankError: The entry takes no new work, or the key is not
                known.
        """
        self.record()
        account = self._authenticator.account_of(request)
        with self._lifecycle.request():
            yield account

    def continued(self) -> contextlib.AbstractContextManager[None]:
        """Counts work as in flight whose caller may have gone away."""
        return self._lifecycle.continued()

    def record(self) -> state.ConfigurationRecord:
        """Returns the configuration that new work runs under.

        Raises:
            LagooncrankError: There is none, or its lease ended.
        """
        record = self._shared.view.configuration
        if not self._shared.lease_holds():
            raise _problem.error(
                results.ResultCode.CONFIGURATION_STALE,
                "this entry lost contact with the quorum; ask another entry",
            )
        if record is None:
            raise _problem.error(
                results.ResultCode.NO_CONFIGURATION,
                "no declarations were applied yet",
            )
        return record
