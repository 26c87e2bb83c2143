"""HTTP server for requests that other entries delegate to this one."""

from typing import Final

from aiohttp import web

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import catalog as catalogs
from lagooncrank.core import reach
from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _caller_connections
from lagooncrank.server.seeded import _caller_server
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _delegated_request
from lagooncrank.server.seeded import _documents
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _reach_metrics
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _startup_wait
from lagooncrank.server.seeded import _stop_gate

#: Longest wait for a document that the sender has already; entries that can
#: reach the control nodes have it within this time of each other.
DOCUMENT_WAIT_MS: Final = 500


class DelegationServer:
    """Accepts requests of authenticated entries, and serves them like others.

    It never delegates them further: two entries without a path would send them
    to and fro.
    """

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        caller_server: _caller_server.CallerServer,
        connections: _caller_connections.CallerConnections,
        documents: _documents.DocumentStore,
        detector: reach.ReachDetector,
        stop_gate: _stop_gate.StopGate,
        metrics: _reach_metrics.ReachMetrics,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._address = node_settings.delegation_address(node_settings.ip)
        self._codec = _delegated_request.DelegationCodec(
            node_settings.shared_key.encode()
        )
        self._caller_server = caller_server
        self._connections = connections
        self._documents = documents
        self._detector = detector
        self._stop_gate = stop_gate
        self._metrics = metrics
        self._clock = clock
        self._log = log

    async def start(self) -> None:
        """Starts to listen, unless the settings name no address."""
        if self._address:
            await self._connections.listen(self._address, self._serve)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._caller_server.bodies.open() as buffer:
            return await self._serve_buffered(request, buffer)

    async def _serve_buffered(
        self, request: web.BaseRequest, buffer: _buffer_budget.Buffer
    ) -> web.StreamResponse:
        """Serves a request whose body the buffer accounts for."""
        request_head: _adapter.RequestHead | None = None
        sender = model.NodeId("")
        try:
            request_head = self._caller_server.read_head(request)
            delegated = self._codec.decode(
                request.headers.get(_delegated_request.REQUEST_HEADER),
                self._address,
            )
            sender = delegated.sender
            body = await self._caller_server.read_body(request, buffer)
            await self._wait_for_document(delegated)
            exchange = self._admit(request_head, delegated, body)
        except _refusals.ForwardingError as error:
            return self._refuse(request_head, sender, error.refusal)
        except _delegated_request.DelegationError as error:
            return self._refuse(request_head, sender, _refusal(str(error)))
        response = await self._caller_server.serve_exchange(request, exchange)
        self._metrics.count_accepted("served")
        return response

    def _admit(
        self,
        request_head: _adapter.RequestHead,
        delegated: _delegated_request.DelegatedRequest,
        body: bytes,
    ) -> _exchange.Exchange:
        """Checks that this entry can serve a request in the sender's place.

        Raises:
            DelegationError: The request is not the one that was described.
            ForwardingError: This entry cannot serve it.
        """
        digest = _delegated_request.content_digest(request_head, body)
        if digest != delegated.content_digest:
            raise _delegated_request.DelegationError("the content differs")
        catalog = self._check_ready(delegated)
        route = catalog.find_route(request_head.host, request_head.path)
        if route is None:
            raise _refusals.ForwardingError(
                _refusal("the newer document has no such route")
            )
        now_ms = self._clock.now_ms()
        arrived_ms = now_ms - delegated.elapsed_ms
        timeout_ms = _forwarding.route_timeout_ms(
            route, delegated.elapsed_ms + delegated.remaining_ms
        )
        exchange = _exchange.Exchange(
            _without_delegation(request_head),
            route,
            delegated.service,
            arrived_ms,
            arrived_ms + timeout_ms,
            catalog.config.version,
            _find_account(catalog, delegated),
            body,
            possible_runs=delegated.possible_runs,
            delegated_by=delegated.sender,
            notice_token=delegated.notice_token,
            needs_live_server=delegated.needs_live_server,
        )
        if not self._stop_gate.is_open(exchange):
            raise _refusals.ForwardingError(_refusal("this entry is stopping"))
        return exchange

    async def _wait_for_document(
        self, delegated: _delegated_request.DelegatedRequest
    ) -> None:
        """Waits for the document that the sender admitted the request by.

        It is on its way to all entries at about the same time.
        """
        await _startup_wait.wait_until(
            lambda: self._has_document(delegated.document_version),
            min(DOCUMENT_WAIT_MS, delegated.remaining_ms),
        )

    def _has_document(self, version: int) -> bool:
        catalog = self._documents.catalog
        return catalog is not None and catalog.config.version >= version

    def _check_ready(
        self, delegated: _delegated_request.DelegatedRequest
    ) -> catalogs.Catalog:
        """Returns the catalog if this entry can serve a request by it.

        Raises:
            ForwardingError: The sender's document is newer, or this entry has
                no path to the service either.
        """
        catalog = self._documents.catalog
        if catalog is None or not self._has_document(
            delegated.document_version
        ):
            raise _refusals.ForwardingError(
                _refusal("this entry's document is older")
            )
        if not self._detector.is_reached(delegated.service):
            raise _refusals.ForwardingError(
                _refusal(f"no path to {delegated.service!r} from here either")
            )
        return catalog

    def _refuse(
        self,
        request_head: _adapter.RequestHead | None,
        sender: model.NodeId,
        refusal: results.Refusal,
    ) -> web.Response:
        self._metrics.count_accepted(refusal.code.name)
        self._log.write(
            decisions.Event.DELEGATION_REFUSED,
            request=request_head.attempt_id if request_head else "",
            sender=sender,
            reason=refusal.reason,
        )
        response = self._caller_server.refuse(request_head, refusal)
        outcome = _delegated_request.Outcome.of_refusal(refusal)
        outcome.add_to(response.headers)
        return response


def _refusal(reason: str) -> results.Refusal:
    return results.Refusal(results.ResultCode.DELEGATION_REFUSED, reason)


def _find_account(
    catalog: catalogs.Catalog, delegated: _delegated_request.DelegatedRequest
) -> model.AccountConfig | None:
    """Returns the account that the sender authenticated.

    Raises:
        ForwardingError: The newer document does not contain it any more.
    """
    if delegated.account is None:
        return None
    for account in catalog.config.accounts:
        if account.account == delegated.account:
            return account
    raise _refusals.ForwardingError(
        _refusal(f"the newer document has no account {delegated.account!r}")
    )


def _without_delegation(
    request_head: _adapter.RequestHead,
) -> _adapter.RequestHead:
    """Returns a request without the header of its delegation."""
    name = _delegated_request.REQUEST_HEADER.lower()
    return request_head.without_header(name)
