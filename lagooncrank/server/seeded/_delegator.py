"""Delegates requests to other entries while this one has no path itself."""

import collections
import dataclasses
import random
import secrets
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import dispatch
from lagooncrank.core import reach
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _decision_log
from lagooncrank.server.seeded import _delegated_request
from lagooncrank.server.seeded import _exchange
from lagooncrank.server.seeded import _fleet_view
from lagooncrank.server.seeded import _reach_metrics
from lagooncrank.server.seeded import _refusals
from lagooncrank.server.seeded import _send_context
from lagooncrank.server.seeded import _target_selector

#: Entries that one request is delegated to at most, one after the other.
MAX_DELEGATIONS: Final = 3
NOTICE_TOKEN_BYTES: Final = 8
#: Refusals of requests that another entry may serve at once.
_NOT_ACCEPTED: Final = (
    results.ResultCode.DELEGATION_REFUSED,
    results.ResultCode.STOPPING,
)


class Delegator:
    """Chooses other entries for requests, and sends requests to them."""

    def __init__(
        self,
        node_settings: settings.SeededSettings,
        client: _attempt.BackendClient,
        view: _fleet_view.FleetView,
        detector: reach.ReachDetector,
        metrics: _reach_metrics.ReachMetrics,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._settings = node_settings
        self._codec = _delegated_request.DelegationCodec(
            node_settings.shared_key.encode()
        )
        self._client = client
        self._view = view
        self._detector = detector
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._backoff = dispatch.FailureBackoff()
        #: Requests in flight by delegation address.
        self._in_flight: collections.Counter[str] = collections.Counter()

    def choose(self, exchange: _exchange.Exchange) -> dispatch.Target | None:
        """Returns the entry to delegate a request to, as a target.

        Returns:
            None if the request is to be sent to a backend server from here:
            this entry reaches the service, no other entry does, or the request
            was delegated already.
        """
        if (
            exchange.delegated_by is not None
            or len(exchange.delegates) >= MAX_DELEGATIONS
            or self._detector.is_reached(exchange.service)
        ):
            return None
        address = self._choose_address(exchange)
        if address is None:
            return None
        return dispatch.Target(
            model.BackendServerId(address),
            address,
            exchange.service,
            _target_selector.UNKNOWN_DOMAIN,
            slots=0,
            is_entry=True,
        )

    def must_refuse(self, exchange: _exchange.Exchange) -> bool:
        """Returns whether a request that is not delegated must be refused.

        It must not use a path that is known to fail if other entries did not
        serve it either, or if its outcome would be unknown for good.
        """
        if exchange.service not in self._detector.confirmed_unreached():
            return False
        return bool(exchange.delegates) or not exchange.route.is_retry_safe

    def _choose_address(self, exchange: _exchange.Exchange) -> str | None:
        if not self._settings.delegation_port:
            return None
        now_ms = self._clock.now_ms()
        avoided = self._backoff.avoided(now_ms).union(exchange.delegates)
        addresses = (
            self._settings.delegation_address(entry.ip)
            for entry in self._view.entries_that_reach(exchange.service, now_ms)
        )
        return reach.choose_delegate(
            (a for a in addresses if a not in avoided),
            self._settings.delegation_address(self._settings.ip),
            self._in_flight,
            (random.random(), random.random()),
        )

    async def open(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _attempt.BackendResponse:
        """Sends a request to another entry and waits for the response's head.

        Raises:
            AttemptFailedError: No response arrived, or the entry does not
                accept the request.
            ForwardingError: The other entry ended the request.
            CallerLeftError: The caller has left; nothing was sent.
        """
        exchange.delegates.append(target.server_id)
        exchange.notice_token = secrets.token_hex(NOTICE_TOKEN_BYTES)
        self._log.write(
            decisions.Event.DELEGATED,
            to=target.address,
            has_arrived=exchange.has_arrived,
            possible_runs=exchange.possible_runs,
            **exchange.log_fields(self._clock),
        )
        header = self._codec.encode(self._describe(exchange, target))
        try:
            response = await self._client.open(
                target,
                exchange.request_head.without_header(
                    _delegated_request.REQUEST_HEADER.lower()
                ),
                exchange.forwarding_metadata(target, self._clock),
                exchange.body,
                added_headers=((_delegated_request.REQUEST_HEADER, header),),
                context=_send_context.SendContext(
                    check_before_send=exchange.check_caller
                ),
            )
        except _attempt.AttemptFailedError as error:
            self.record_failure(target, error)
            raise
        try:
            self._check_outcome(exchange, response)
        except BaseException:
            response.close()
            raise
        return response

    def begin(self, target: dispatch.Target) -> None:
        """Counts a request that is delegated to an entry."""
        self._in_flight[target.server_id] += 1

    def end(self, target: dispatch.Target) -> None:
        """Removes a request that has ended from the count."""
        self._in_flight[target.server_id] -= 1
        if not self._in_flight[target.server_id]:
            del self._in_flight[target.server_id]

    def record_failure(
        self, target: dispatch.Target, error: _attempt.AttemptFailedError
    ) -> None:
        """Records that an entry did not respond, or broke off."""
        self._metrics.count_delegated(error.failure)
        self._backoff.record_failure(target.server_id, self._clock.now_ms())

    def _describe(
        self, exchange: _exchange.Exchange, target: dispatch.Target
    ) -> _delegated_request.DelegatedRequest:
        account = exchange.account
        return _delegated_request.DelegatedRequest(
            self._settings.node_id,
            target.address,
            None if account is None else account.account,
            exchange.service,
            exchange.document_version,
            self._clock.now_ms() - exchange.arrived_ms,
            max(exchange.remaining_ms(self._clock), 1),
            exchange.possible_runs,
            _delegated_request.content_digest(
                exchange.request_head, exchange.body
            ),
            exchange.notice_token,
            exchange.needs_live_server,
        )

    def _check_outcome(
        self,
        exchange: _exchange.Exchange,
        response: _attempt.BackendResponse,
    ) -> None:
        """Decodes how the other entry ended the request.

        Raises:
            AttemptFailedError: The entry does not accept the request, or the
                response does not come from an entry.
            ForwardingError: The entry refused the request, or it failed there.
        """
        outcome = _read_outcome(response)
        response.head = _without_outcome(response.head)
        self._metrics.count_delegated(outcome.code.name)
        if outcome.code is results.ResultCode.OK:
            exchange.delegated_runs = outcome.possible_runs
            exchange.leaving_server = outcome.leaving_server
            # An entry of an older build passes such a response on.
            _attempt.check_promise(response.head)
            return
        if outcome.code in _NOT_ACCEPTED:
            exchange.has_arrived |= outcome.has_arrived
            self._log.write(
                decisions.Event.NOT_ACCEPTED,
                to=exchange.delegates[-1],
                code=outcome.code.name,
                **exchange.log_fields(self._clock),
            )
            raise _attempt.AttemptFailedError(
                _attempt.FailureKind.NOT_RUN, outcome.code.meaning
            )
        exchange.possible_runs = outcome.possible_runs
        raise _refusals.ForwardingError(
            results.Refusal(
                outcome.code,
                f"route {exchange.route.name!r}: {outcome.code.meaning} at "
                f"{exchange.delegates[-1]}",
                outcome.ran,
                retry_after_ms=outcome.retry_after_ms,
            )
        )


def _read_outcome(
    response: _attempt.BackendResponse,
) -> _delegated_request.Outcome:
    name = _delegated_request.OUTCOME_HEADER
    # A backend server may have sent one, too: the entry's is the last.
    texts = response.response.headers.getall(name, [])
    try:
        return _delegated_request.Outcome.decode(texts[-1] if texts else "")
    except _delegated_request.DelegationError as error:
        raise _attempt.AttemptFailedError(
            _attempt.FailureKind.RESPONSE_LOST,
            "the response states no outcome of another entry",
            received=str(error),
        ) from error


def _without_outcome(head: _adapter.ResponseHead) -> _adapter.ResponseHead:
    name = _delegated_request.OUTCOME_HEADER.lower()
    headers = tuple(
        (n, v) for n, v in head.forwarded_headers if n.lower() != name
    )
    return dataclasses.replace(head, forwarded_headers=headers)
