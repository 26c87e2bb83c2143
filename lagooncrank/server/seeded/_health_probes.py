"""Health checks of backend servers, and what their responses show."""

from collections.abc import Callable
from typing import Final

from lagooncrank import model
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _documents

PROBE_TIMEOUT_MS: Final = 400
#: Health path of a service that the document does not contain any more.
DEFAULT_HEALTH_PATH: Final = "/"


class HealthProbes:
    """Sends health checks; a response is a sign of life."""

    def __init__(
        self,
        client: _attempt.BackendClient,
        documents: _documents.DocumentStore,
        record_sign: Callable[[str], None],
        count: Callable[[str], None],
    ) -> None:
        """Creates the probes.

        Args:
            client: Sends them.
            documents: State the health path of each service.
            record_sign: Records that a server has sent something.
            count: Counts an outcome.
        """
        self._client = client
        self._documents = documents
        self._record_sign = record_sign
        self._count = count

    async def probe(
        self, service: model.ServiceName, server_id: str, address: str
    ) -> _attempt.ProbeOutcome:
        """Returns how a server responds to a health check."""
        outcome = await self._client.probe(
            address, self._health_path(service), PROBE_TIMEOUT_MS
        )
        self._count(outcome)
        if outcome is _attempt.ProbeOutcome.RESPONSE:
            self._record_sign(server_id)
        return outcome

    def _health_path(self, service: model.ServiceName) -> str:
        catalog = self._documents.catalog
        config = None if catalog is None else catalog.services.get(service)
        return DEFAULT_HEALTH_PATH if config is None else config.health_path
