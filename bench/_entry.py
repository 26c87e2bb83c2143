"""One entry of the fairness bench: the core's policies and their effects."""

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

#: Entries that did not report for this long are silent.
SILENT_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request and how far it came."""

    request_id: model.RequestId
    arrival: _workload.Arrival
    delivered: int = 0
    first_token_ms: float = -1.0
    last_token_ms: float = -1.0
    attempts: int = 0
    priority: int = 0
    replica: str = ""
    sequence: _batching.Sequence | None = None
    excluded: frozenset[str] = frozenset()


#: Sends a sequence to a replica; False if the connection fails.
Send = Callable[["Entry", Request], bool]
#: Cancels the sequence of a request; returns tokens not yet noted.
Cancel = Callable[[Request], int]


class Entry:
    """Feeds events to the policies and carries out their effects."""

    def __init__(
        self,
        scenario: _scenario.Scenario,
        policies: _scenario.Policies,
        index: int,
        outcome: _outcomes.RunOutcome,
        send: Send,
        cancel: Cancel,
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
        self.alive = True
        #: When each other entry's report came last.
        self.heard_ms: dict[model.NodeId, float] = {}
        self.targets: Sequence[routing.Target] = ()
        self.requests: dict[model.RequestId, Request] = {}
        self._outcome = outcome
        self._target_ms = scenario.first_token_target_ms
        self._tokens_per_s = scenario.tokens_per_s_per_replica
        self._send = send
        self._cancel = cancel
        self._sent = 0
        self.admission.configure(_scenario.declarations(scenario), 0)

    def offer(self, arrival: _workload.Arrival, now_ms: float) -> None:
        """Takes a caller's request."""
        self._sent += 1
        request_id = model.RequestId(f"{self.index}-{self._sent}")
        request = Request(request_id, arrival)
        self.requests[request_id] = request
        self._account(request).offered += 1
        offer = admission.Offer(
            request_id,
            model.ClientAccountId(arrival.account),
            _scenario.SERVICE,
            arrival.prompt_tokens,
            max_output_tokens=4_096,
            first_token_deadline_ms=int(now_ms) + self._target_ms,
        )
        self.retry.record_first_attempt(self._call(request), int(now_ms))
        self.carry_out(self.admission.offer(offer, int(now_ms)), now_ms)

    def note_silent(self, now_ms: float) -> None:
        """Tells the router which entries were not heard from lately."""
        silent = [
            node_id
            for node_id, heard_ms in self.heard_ms.items()
            if now_ms - heard_ms > SILENT_AFTER_MS
        ]
        self.router.set_unresponsive_entries(silent)

    def set_capacity(self, now_ms: float) -> None:
        """Tells admission what the targets in use can take."""
        at_ms = int(now_ms)
        avoided = self.router.avoided(_scenario.SERVICE, at_ms)
        used = [t for t in self.targets if t.target_id not in avoided]
        slow = self.router.stragglers(_scenario.SERVICE)
        stragglers = [t for t in self.targets if t.target_id in slow]
        capacity = admission.Capacity(
            _scenario.SERVICE,
            len(used),
            sum(target.concurrency for target in used),
            len(used) * self._tokens_per_s,
            sum(t.load.running + t.load.queued for t in used),
            sum(target.concurrency for target in stragglers),
        )
        self.carry_out(self.admission.set_capacity(capacity, at_ms), now_ms)

    def carry_out(
        self, effects: Sequence[admission.Effect], now_ms: float
    ) -> None:
        """Carries out what admission decided."""
        for effect in effects:
            request = self.requests[effect.request_id]
            if isinstance(effect, admission.Start):
                request.priority = effect.priority
                self.attempt(request, now_ms)
            elif isinstance(effect, admission.Suspend):
                self._suspend(request, now_ms)
            else:
                name = effect.refusal.code.name
                self._account(request).refused[name] += 1
                del self.requests[effect.request_id]

    def attempt(self, request: Request, now_ms: float) -> None:
        """Sends a request to the replica that the router chooses."""
        if request.request_id not in self.requests:
            return
        query = self._query(request)
        target = self.router.choose(query, self.targets, int(now_ms))
        if target is None:
            self._give_up(request, "NO_SERVING_REPLICA", now_ms)
            return
        request.attempts += 1
        request.replica = target.target_id
        self.router.sent(query, target, int(now_ms))
        if not self._send(self, request):
            end = routing.AttemptOutcome.CONNECT_FAILED
            self.handle_failure(
                request, end, retry.FailureKind.CONNECT_FAILED, now_ms
            )

    def progressed(
        self, request: Request, progress: _batching.Progress, now_ms: float
    ) -> None:
        """Takes a step's tokens of one request."""
        at_ms = int(now_ms)
        outcome = self._account(request)
        effects: list[admission.Effect] = []
        if progress.first:
            self._note_first(request, outcome, now_ms)
            self.router.first_token(request.request_id, at_ms)
            effects += self.admission.first_token(request.request_id, at_ms)
        else:
            self.router.tokens(request.request_id, progress.tokens, at_ms)
            effects += self.admission.tokens(
                request.request_id, progress.tokens, at_ms
            )
        request.delivered += progress.tokens
        request.last_token_ms = now_ms
        if progress.done:
            self._complete(request, outcome)
            end = routing.AttemptOutcome.COMPLETED
            self.router.ended(request.request_id, end, at_ms)
            effects += self.admission.ended(request.request_id, at_ms)
        self.carry_out(effects, now_ms)

    def handle_failure(
        self,
        request: Request,
        end: routing.AttemptOutcome,
        kind: retry.FailureKind,
        now_ms: float,
    ) -> None:
        """Ends a failed attempt and follows the retry policy."""
        self.router.ended(request.request_id, end, int(now_ms))
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
            self._give_up(request, decision.refusal.code.name, now_ms)
            return
        self._account(request).retried += 1
        request.excluded |= decision.excluded
        self.attempt(request, now_ms)

    def _give_up(self, request: Request, reason: str, now_ms: float) -> None:
        self._account(request).refused[reason] += 1
        self._account(request).lost += 1
        del self.requests[request.request_id]
        effects = self.admission.ended(request.request_id, int(now_ms))
        self.carry_out(effects, now_ms)

    def _suspend(self, request: Request, now_ms: float) -> None:
        request.delivered += self._cancel(request)
        request.sequence = None
        self._account(request).suspended += 1
        end = routing.AttemptOutcome.CANCELLED
        self.router.ended(request.request_id, end, int(now_ms))

    def _note_first(
        self,
        request: Request,
        outcome: _outcomes.AccountOutcome,
        now_ms: float,
    ) -> None:
        if request.first_token_ms < 0:
            request.first_token_ms = now_ms
            outcome.first_token_ms.add(now_ms - request.arrival.at_ms)
        else:
            outcome.gap_ms.add(now_ms - request.last_token_ms)

    def _complete(
        self, request: Request, outcome: _outcomes.AccountOutcome
    ) -> None:
        tokens = request.arrival.output_tokens
        outcome.completed += 1
        outcome.completed_tokens += tokens
        waited_ms = request.first_token_ms - request.arrival.at_ms
        if waited_ms <= self._target_ms:
            outcome.timely_tokens += tokens
        del self.requests[request.request_id]

    def _account(self, request: Request) -> _outcomes.AccountOutcome:
        return self._outcome.accounts[request.arrival.account]

    def _query(self, request: Request) -> routing.RouteQuery:
        return routing.RouteQuery(
            request.request_id,
            _scenario.SERVICE,
            model.ClientAccountId(request.arrival.account),
            request.arrival.prompt_tokens + request.delivered,
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
