"""Drives one or more admission objects with generated arrivals."""

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


def declare(
    shares: dict[str, int], max_queued_requests: int = 200
) -> model.Declarations:
    """Returns declarations with one account for each share."""
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
    """One request."""

    at_ms: int
    account: str
    entry: int = 0
    duration_ms: int = 1_000
    target_ms: int = 1_300


@dataclasses.dataclass(slots=True)
class Fate:
    """What happened to one request."""

    arrival: Arrival
    starts_ms: list[int] = dataclasses.field(default_factory=list)
    priorities: list[int] = dataclasses.field(default_factory=list)
    suspensions: int = 0
    ended_ms: int | None = None
    refusals: list[results.Refusal] = dataclasses.field(default_factory=list)

    @property
    def running(self) -> bool:
        """Whether the request holds a slot."""
        started = len(self.starts_ms) > self.suspensions
        return started and self.ended_ms is None and not self.refusals

    @property
    def waiting(self) -> bool:
        """Whether the request waits in a queue."""
        return not (self.running or self.refusals) and self.ended_ms is None


class Driver:
    """Carries effects out at once; a request runs for its duration."""

    def __init__(
        self,
        policy: str,
        declarations: model.Declarations,
        slots: int,
        entries: int = 1,
    ) -> None:
        self.fates: dict[model.RequestId, Fate] = {}
        self.now_ms = 0
        self.slots = slots
        self._finish: list[tuple[int, int, model.RequestId]] = []
        self.policies: list[admission.AdmissionPolicy] = []
        for index in range(entries):
            config = admission.AdmissionConfig(
                model.NodeId(f"e{index}"), 1, entries
            )
            one = admission.ADMISSION_POLICIES.get(policy).from_config(config)
            one.configure(declarations, 0)
            one.set_capacity(admission.Capacity(SERVICE, 1, slots, 100), 0)
            self.policies.append(one)
        self._report()

    def run(self, arrivals: Iterable[Arrival], until_ms: int) -> None:
        """Feeds arrivals, ends, ticks and reports in order of time."""
        waiting = collections.deque(sorted(arrivals, key=lambda a: a.at_ms))
        while self.now_ms < until_ms:
            while waiting and waiting[0].at_ms <= self.now_ms:
                self._offer(waiting.popleft())
            while self._finish and self._finish[0][0] <= self.now_ms:
                self._end(heapq.heappop(self._finish))
            for policy in self.policies:
                self._carry_out(policy, policy.tick(self.now_ms))
            if self.now_ms % admission.LIMITS_INTERVAL_MS == 0:
                self._report()
            self.step()
            self.now_ms += TICK_MS

    def step(self) -> None:
        """Is called after each tick; tests override it to look."""

    def count(self, account: str, state: str) -> int:
        """Returns how many requests of an account are in a state."""
        return sum(
            fate.arrival.account == account and getattr(fate, state)
            for fate in self.fates.values()
        )

    def _offer(self, arrival: Arrival) -> None:
        request_id = model.RequestId(f"r{len(self.fates)}")
        self.fates[request_id] = Fate(arrival)
        offer = admission.Offer(
            request_id,
            model.ClientAccountId(arrival.account),
            SERVICE,
            prompt_tokens=100,
            max_output_tokens=100,
            first_token_deadline_ms=self.now_ms + arrival.target_ms,
        )
        policy = self.policies[arrival.entry]
        self._carry_out(policy, policy.offer(offer, self.now_ms))

    def _end(self, item: tuple[int, int, model.RequestId]) -> None:
        _, start, request_id = item
        fate = self.fates[request_id]
        if not fate.running or len(fate.starts_ms) != start:
            return
        fate.ended_ms = self.now_ms
        policy = self.policies[fate.arrival.entry]
        policy.tokens(request_id, 99, self.now_ms)
        self._carry_out(policy, policy.ended(request_id, self.now_ms))

    def _report(self) -> None:
        for policy in self.policies:
            report = policy.usage_report(self.now_ms)
            for other in self.policies:
                if other is not policy:
                    other.observe_usage(report, self.now_ms)

    def _carry_out(
        self,
        policy: admission.AdmissionPolicy,
        effects: Sequence[admission.Effect],
    ) -> None:
        for effect in effects:
            fate = self.fates[effect.request_id]
            if isinstance(effect, admission.Start):
                assert fate.waiting
                fate.starts_ms.append(self.now_ms)
                fate.priorities.append(effect.priority)
                end_ms = self.now_ms + fate.arrival.duration_ms
                item = (end_ms, len(fate.starts_ms), effect.request_id)
                heapq.heappush(self._finish, item)
                policy.first_token(effect.request_id, self.now_ms + 50)
            elif isinstance(effect, admission.Suspend):
                assert fate.running
                fate.suspensions += 1
            else:
                assert fate.waiting
                fate.refusals.append(effect.refusal)


def poisson(
    account: str,
    per_s: float,
    until_ms: int,
    source: random.Random,
    entries: Sequence[int] = (0,),
    duration_ms: int = 1_000,
) -> list[Arrival]:
    """Returns arrivals of one account at a mean rate."""
    arrivals: list[Arrival] = []
    at_ms = 0.0
    while True:
        at_ms += source.expovariate(per_s) * 1_000
        if at_ms >= until_ms:
            return arrivals
        entry = source.choice(entries)
        arrivals.append(Arrival(int(at_ms), account, entry, duration_ms))
