"""Simulated entry of the fairness benchmark, with the core's real policies."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from bench import _batching
from bench import _outcomes
from bench import _scenario
from bench import _workload
from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import retry
from lagooncrank.core import routing

#: An entry counts as unresponsive if its newest usage report is older.
UNRESPONSIVE_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request and its progress."""

    request_id: model.RequestId
    arrival: _workload.Arrival
    #: Output tokens that all attempts have delivered.
    delivered_tokens: int = 0
    #: Times of the first and the newest token; -1 before the first.
    first_token_ms: float = -1.0
    last_token_ms: float = -1.0
    attempts: int = 0
    priority: int = 0
    #: Replica of the newest attempt.
    replica: str = ""
    sequence: _batching.Sequence | None = None
    #: Replicas that retries must not use.
    excluded: frozenset[str] = frozenset()


#: Sends a request to its replica; returns False if the connection fails.
SendCallback = Callable[["Entry", Request], bool]
#: Cancels the attempt of a request; returns its number of unreported tokens.
CancelCallback = Callable[[Request], int]


class Entry:
    """Passes events to the policies and applies their effects.

    Args:
        scenario: Scenario of the run.
        policies: Policies to use.
        index: Index of this entry.
        outcome: Where the outcomes of requests are counted.
        send: Starts an attempt at a replica.
        cancel: Cancels a running attempt.
    """

    def __init__(
        self,
        scenario: _scenario.Scenario,
        policies: _scenario.Policies,
        index: int,
        outcome: _outcomes.RunOutcome,
        send: SendCallback,
        cancel: CancelCallback,
    ) -> None:
        self.index = index
        self.domain = model.FailureDomainId(
            f"fd-{index % _scenario.FAILURE_DOMAINS}"
        )
        node_id = model.NodeId(f"entry-{index}")
        self.admission: admission.AdmissionPolicy = (
            admission.ADMISSION_POLICIES.get(policies.admission).from_config(
                admission.AdmissionConfig(node_id, 1, scenario.entries)
            )
        )
        self.router = routing.ROUTERS.get(policies.router).from_config(
            routing.RouterConfig(
                node_id,
                self.domain,
                tuple(
                    model.NodeId(f"entry-{peer}")
                    for peer in range(scenario.entries)
                ),
            )
        )
        self.retry = retry.RETRY_POLICIES.get(policies.retry).from_config(
            retry.RetryConfig()
        )
        self.is_alive = True
        #: Time of the newest usage report from each other entry.
        self.last_seen_ms: dict[model.NodeId, float] = {}
        self.targets: Sequence[routing.Target] = ()
        self.requests: dict[model.RequestId, Request] = {}
        self._outcome = outcome
        self._first_token_target_ms = scenario.first_token_target_ms
        self._tokens_per_s = scenario.tokens_per_s_per_replica
        self._send = send
        self._cancel = cancel
        self._offered_requests = 0
        self.admission.configure(_scenario.declarations(scenario), 0)

    def offer(self, arrival: _workload.Arrival, now_ms: float) -> None:
        """Offers a caller's request to admission."""
        self._offered_requests += 1
        request_id = model.RequestId(f"{self.index}-{self._offered_requests}")
        request = Request(request_id, arrival)
        self.requests[request_id] = request
        self._account_outcome(request).offered += 1
        offer = admission.Offer(
            request_id,
            model.ClientAccountId(arrival.account),
            _scenario.SERVICE,
            arrival.prompt_tokens,
            max_output_tokens=4_096,
            first_token_deadline_ms=int(now_ms) + self._first_token_target_ms,
        )
        self.retry.record_first_attempt(self._call(request), int(now_ms))
        self.apply_effects(self.admission.offer(offer, int(now_ms)), now_ms)

    def update_unresponsive_entries(self, now_ms: float) -> None:
        """Reports to the router which entries sent no recent usage report."""
        unresponsive = [
            node_id
            for node_id, last_seen_ms in self.last_seen_ms.items()
            if now_ms - last_seen_ms > UNRESPONSIVE_AFTER_MS
        ]
        self.router.set_unresponsive_entries(unresponsive)

    def set_capacity(self, now_ms: float) -> None:
        """Reports the capacity of the targets in use to admission."""
        at_ms = int(now_ms)
        avoided = self.router.avoided(_scenario.SERVICE, at_ms)
        used = [t for t in self.targets if t.target_id not in avoided]
        straggler_ids = self.router.stragglers(_scenario.SERVICE)
        stragglers = [t for t in self.targets if t.target_id in straggler_ids]
        capacity = admission.Capacity(
            _scenario.SERVICE,
            len(used),
            sum(target.concurrency for target in used),
            len(used) * self._tokens_per_s,
            sum(t.load.running + t.load.queued for t in used),
            sum(target.concurrency for target in stragglers),
        )
        self.apply_effects(self.admission.set_capacity(capacity, at_ms), now_ms)

    def apply_effects(
        self, effects: Sequence[admission.Effect], now_ms: float
    ) -> None:
        """Applies the effects of admission decisions."""
        for effect in effects:
            request = self.requests[effect.request_id]
            if isinstance(effect, admission.Start):
                request.priority = effect.priority
                self.send_attempt(request, now_ms)
            elif isinstance(effect, admission.Suspend):
                self._suspend(request, now_ms)
            else:
                code = effect.refusal.code.name
                self._account_outcome(request).refusals[code] += 1
                del self.requests[effect.request_id]

    def send_attempt(self, request: Request, now_ms: float) -> None:
        """Sends a request to the replica that the router chooses."""
        if request.request_id not in self.requests:
            return
        query = self._query(request)
        target = self.router.choose(query, self.targets, int(now_ms))
        if target is None:
            self._fail_request(request, "NO_SERVING_REPLICA", now_ms)
            return
        request.attempts += 1
        request.replica = target.target_id
        self.router.sent(query, target, int(now_ms))
        if not self._send(self, request):
            attempt_outcome = routing.AttemptOutcome.CONNECT_FAILED
            self.handle_failure(
                request,
                attempt_outcome,
                retry.FailureKind.CONNECT_FAILED,
                now_ms,
            )

    def record_progress(
        self, request: Request, progress: _batching.Progress, now_ms: float
    ) -> None:
        """Records the progress of a request's attempt."""
        at_ms = int(now_ms)
        outcome = self._account_outcome(request)
        effects: list[admission.Effect] = []
        if progress.is_first:
            self._record_first_token(request, outcome, now_ms)
            self.router.first_token(request.request_id, at_ms)
            effects += self.admission.first_token(request.request_id, at_ms)
        else:
            self.router.tokens(request.request_id, progress.tokens, at_ms)
            effects += self.admission.tokens(
                request.request_id, progress.tokens, at_ms
            )
        request.delivered_tokens += progress.tokens
        request.last_token_ms = now_ms
        if progress.is_done:
            self._complete(request, outcome)
            attempt_outcome = routing.AttemptOutcome.COMPLETED
            self.router.ended(request.request_id, attempt_outcome, at_ms)
            effects += self.admission.ended(request.request_id, at_ms)
        self.apply_effects(effects, now_ms)

    def handle_failure(
        self,
        request: Request,
        attempt_outcome: routing.AttemptOutcome,
        kind: retry.FailureKind,
        now_ms: float,
    ) -> None:
        """Ends a failed attempt and applies the retry policy's decision."""
        self.router.ended(request.request_id, attempt_outcome, int(now_ms))
        request.sequence = None
        failure = retry.Failure(
            kind,
            request.replica,
            bytes_written=kind is not retry.FailureKind.CONNECT_FAILED,
            attempts=request.attempts,
        )
        call = self._call(request)
        decision = self.retry.handle_failure(call, failure, int(now_ms))
        if isinstance(decision, retry.GiveUp):
            self._fail_request(request, decision.refusal.code.name, now_ms)
            return
        self._account_outcome(request).retries += 1
        request.excluded |= decision.excluded
        self.send_attempt(request, now_ms)

    def _fail_request(self, request: Request, code: str, now_ms: float) -> None:
        self._account_outcome(request).refusals[code] += 1
        self._account_outcome(request).failed += 1
        del self.requests[request.request_id]
        effects = self.admission.ended(request.request_id, int(now_ms))
        self.apply_effects(effects, now_ms)

    def _suspend(self, request: Request, now_ms: float) -> None:
        request.delivered_tokens += self._cancel(request)
        request.sequence = None
        self._account_outcome(request).suspensions += 1
        attempt_outcome = routing.AttemptOutcome.CANCELLED
        self.router.ended(request.request_id, attempt_outcome, int(now_ms))

    def _record_first_token(
        self,
        request: Request,
        outcome: _outcomes.AccountOutcome,
        now_ms: float,
    ) -> None:
        if request.first_token_ms < 0:
            request.first_token_ms = now_ms
            outcome.first_token_ms.add(now_ms - request.arrival.at_ms)
        else:
            outcome.token_gap_ms.add(now_ms - request.last_token_ms)

    def _complete(
        self, request: Request, outcome: _outcomes.AccountOutcome
    ) -> None:
        output_tokens = request.arrival.output_tokens
        outcome.completed += 1
        outcome.completed_tokens += output_tokens
        first_token_delay_ms = request.first_token_ms - request.arrival.at_ms
        if first_token_delay_ms <= self._first_token_target_ms:
            outcome.timely_tokens += output_tokens
        del self.requests[request.request_id]

    def _account_outcome(self, request: Request) -> _outcomes.AccountOutcome:
        return self._outcome.accounts[request.arrival.account]

    def _query(self, request: Request) -> routing.RouteQuery:
        return routing.RouteQuery(
            request.request_id,
            _scenario.SERVICE,
            model.ClientAccountId(request.arrival.account),
            request.arrival.prompt_tokens + request.delivered_tokens,
            expected_output_tokens=200,
            excluded=request.excluded,
            priority=request.priority,
        )

    def _call(self, request: Request) -> retry.Call:
        return retry.Call(
            request.request_id,
            model.ClientAccountId(request.arrival.account),
            _scenario.SERVICE,
            repeatable=True,
            digest=request.request_id.encode(),
            deadline_ms=int(request.arrival.at_ms) + 60_000,
        )
