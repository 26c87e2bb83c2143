"""Simulation of admission policies with generated arrivals."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq
import random

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import admission

SERVICE = model.ServiceName("drafts")
TICK_MS = 20


def make_declarations(
    shares: dict[str, int], max_queued_requests: int = 200
) -> model.Declarations:
    """Returns declarations with one account per share."""
    return model.Declarations(
        client_accounts=tuple(
            model.ClientAccount(
                model.ClientAccountId(name),
                (),
                share,
                max_queued_requests=max_queued_requests,
            )
            for name, share in shares.items()
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of one request at an entry."""

    at_ms: int
    account: str
    entry: int = 0
    duration_ms: int = 1_000
    first_token_target_ms: int = 1_300


@dataclasses.dataclass(slots=True)
class RequestOutcome:
    """Course and outcome of one request."""

    arrival: Arrival
    started_ms: list[int] = dataclasses.field(default_factory=list)
    priorities: list[int] = dataclasses.field(default_factory=list)
    suspensions: int = 0
    ended_ms: int | None = None
    refusals: list[results.Refusal] = dataclasses.field(default_factory=list)

    @property
    def running(self) -> bool:
        """Whether the request occupies a slot."""
        started = len(self.started_ms) > self.suspensions
        return started and self.ended_ms is None and not self.refusals

    @property
    def waiting(self) -> bool:
        """Whether the request waits in a queue."""
        return not (self.running or self.refusals) and self.ended_ms is None


class Simulation:
    """Runs one policy per entry and applies its effects at once.

    A started request ends after its duration, unless it is suspended before.
    """

    def __init__(
        self,
        policy_name: str,
        declarations: model.Declarations,
        slots: int,
        entries: int = 1,
    ) -> None:
        self.outcomes: dict[model.RequestId, RequestOutcome] = {}
        self.now_ms = 0
        self.slots = slots
        self._scheduled_ends: list[tuple[int, int, model.RequestId]] = []
        self.policies: list[admission.AdmissionPolicy] = []
        for index in range(entries):
            config = admission.AdmissionConfig(
                model.NodeId(f"e{index}"), 1, entries
            )
            policy = admission.ADMISSION_POLICIES.get(policy_name).from_config(
                config
            )
            policy.configure(declarations, 0)
            policy.set_capacity(admission.Capacity(SERVICE, 1, slots, 100), 0)
            self.policies.append(policy)
        self._exchange_reports()

    def run(self, arrivals: Iterable[Arrival], until_ms: int) -> None:
        """Processes arrivals, ends, ticks and reports in order of time."""
        pending_arrivals = collections.deque(
            sorted(arrivals, key=lambda a: a.at_ms)
        )
        while self.now_ms < until_ms:
            while pending_arrivals and pending_arrivals[0].at_ms <= self.now_ms:
                self._offer(pending_arrivals.popleft())
            while (
                self._scheduled_ends
                and self._scheduled_ends[0][0] <= self.now_ms
            ):
                self._end(heapq.heappop(self._scheduled_ends))
            for policy in self.policies:
                self._apply_effects(policy, policy.tick(self.now_ms))
            if self.now_ms % admission.LIMITS_INTERVAL_MS == 0:
                self._exchange_reports()
            self.after_tick()
            self.now_ms += TICK_MS

    def after_tick(self) -> None:
        """Does nothing; tests override it to inspect the state."""

    def count(self, account: str, state: str) -> int:
        """Returns how many requests of an account are in a state."""
        return sum(
            outcome.arrival.account == account and getattr(outcome, state)
            for outcome in self.outcomes.values()
        )

    def _offer(self, arrival: Arrival) -> None:
        request_id = model.RequestId(f"r{len(self.outcomes)}")
        self.outcomes[request_id] = RequestOutcome(arrival)
        offer = admission.Offer(
            request_id,
            model.ClientAccountId(arrival.account),
            SERVICE,
            prompt_tokens=100,
            max_output_tokens=100,
            first_token_deadline_ms=self.now_ms + arrival.first_token_target_ms,
        )
        policy = self.policies[arrival.entry]
        self._apply_effects(policy, policy.offer(offer, self.now_ms))

    def _end(self, scheduled_end: tuple[int, int, model.RequestId]) -> None:
        _, start_number, request_id = scheduled_end
        outcome = self.outcomes[request_id]
        if not outcome.running or len(outcome.started_ms) != start_number:
            return
        outcome.ended_ms = self.now_ms
        policy = self.policies[outcome.arrival.entry]
        policy.tokens(request_id, 99, self.now_ms)
        self._apply_effects(policy, policy.ended(request_id, self.now_ms))

    def _exchange_reports(self) -> None:
        for policy in self.policies:
            report = policy.usage_report(self.now_ms)
            for other in self.policies:
                if other is not policy:
                    other.observe_usage(report, self.now_ms)

    def _apply_effects(
        self,
        policy: admission.AdmissionPolicy,
        effects: Sequence[admission.Effect],
    ) -> None:
        for effect in effects:
            outcome = self.outcomes[effect.request_id]
            if isinstance(effect, admission.Start):
                assert outcome.waiting
                outcome.started_ms.append(self.now_ms)
                outcome.priorities.append(effect.priority)
                end_ms = self.now_ms + outcome.arrival.duration_ms
                scheduled_end = (
                    end_ms,
                    len(outcome.started_ms),
                    effect.request_id,
                )
                heapq.heappush(self._scheduled_ends, scheduled_end)
                policy.first_token(effect.request_id, self.now_ms + 50)
            elif isinstance(effect, admission.Suspend):
                assert outcome.running
                outcome.suspensions += 1
            else:
                assert outcome.waiting
                outcome.refusals.append(effect.refusal)


def poisson_arrivals(
    account: str,
    per_s: float,
    until_ms: int,
    rng: random.Random,
    entries: Sequence[int] = (0,),
    duration_ms: int = 1_000,
) -> list[Arrival]:
    """Returns arrivals of one account at a mean rate."""
    arrivals: list[Arrival] = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(per_s) * 1_000
        if at_ms >= until_ms:
            return arrivals
        entry = rng.choice(entries)
        arrivals.append(Arrival(int(at_ms), account, entry, duration_ms))
