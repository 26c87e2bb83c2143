"""Measures the processor time of the decisions on one request.

One entry is loaded with three times its capacity, with several numbers of
accounts and replicas. The time includes offers, starts, routing, tokens, ends,
ticks and usage reports. Run with `python -m bench.decision_cost`; writes
`bench/results/decision_cost.json`.
"""

import collections
import json
import pathlib
import random
import time
from typing import Any

from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import routing

RESULTS = pathlib.Path(__file__).with_name("results") / "decision_cost.json"
SERVICE = model.ServiceName("drafts")
ENTRIES = 6
SLOTS_PER_REPLICA = 32
#: All slots are divided by this number to get those of the entry under test.
ENTRY_SLOT_DIVISOR = 6
REQUESTS = 4_000
SEED = 7
SERVICE_TIME_MS = 3_000
TICK_INTERVAL_MS = 20


class _EntryDriver:
    """Passes offers, progress and ticks to the policies of one entry."""

    def __init__(self, accounts: int, replicas: int) -> None:
        self._names = [f"account-{index}" for index in range(accounts)]
        node_id = model.NodeId("entry-0")
        nodes = tuple(model.NodeId(f"entry-{i}") for i in range(ENTRIES))
        self._admission = admission.ADMISSION_POLICIES.get(
            "fair_share"
        ).from_config(admission.AdmissionConfig(node_id, 1))
        declared = tuple(
            model.ClientAccount(model.ClientAccountId(name), (), 10)
            for name in self._names
        )
        declarations = model.Declarations(client_accounts=declared)
        self._admission.configure(declarations, 0)
        domain = model.FailureDomainId("fd-0")
        self._router = routing.ROUTERS.get("balanced").from_config(
            routing.RouterConfig(node_id, domain, nodes)
        )
        self._slots = replicas * SLOTS_PER_REPLICA // ENTRY_SLOT_DIVISOR
        self._admission.set_capacity(
            admission.Capacity(SERVICE, replicas, self._slots, 100_000), 0
        )
        self._targets = tuple(
            routing.Target(
                f"replica-{index}",
                "127.0.0.1:1",
                domain,
                "1",
                model.LoadReport(),
                load_received_ms=0,
                concurrency=SLOTS_PER_REPLICA,
            )
            for index in range(replicas)
        )
        self._rng = random.Random(SEED)
        self._offers: dict[model.RequestId, admission.Offer] = {}
        self._running: collections.deque[tuple[int, model.RequestId]] = (
            collections.deque()
        )
        self.now_ms = 0
        self.started_requests = 0

    def run(self, requests: int) -> None:
        """Offers `requests` requests at three times the capacity."""
        requests_per_tick = 3 * self._slots * TICK_INTERVAL_MS / SERVICE_TIME_MS
        offered = due = 0.0
        while offered < requests:
            due += requests_per_tick
            while offered < due:
                offered += 1
                self._offer(int(offered))
            self._finish_due_requests()
            self._apply_effects(self._admission.tick(self.now_ms))
            if self.now_ms % admission.LIMITS_INTERVAL_MS == 0:
                self._admission.usage_report(self.now_ms)
            self.now_ms += TICK_INTERVAL_MS

    def _offer(self, number: int) -> None:
        request_id = model.RequestId(f"{self.now_ms}-{number}")
        offer = admission.Offer(
            request_id,
            model.ClientAccountId(self._rng.choice(self._names)),
            SERVICE,
            prompt_tokens=300,
            max_output_tokens=200,
            first_token_deadline_ms=self.now_ms + 1_300,
        )
        self._offers[request_id] = offer
        self._apply_effects(self._admission.offer(offer, self.now_ms))

    def _apply_effects(self, effects: Any) -> None:
        for effect in effects:
            offer = self._offers[effect.request_id]
            if not isinstance(effect, admission.Start):
                continue
            self.started_requests += 1
            query = routing.RouteQuery(
                offer.request_id,
                SERVICE,
                offer.account,
                offer.prompt_tokens,
                200,
                priority=effect.priority,
            )
            target = self._router.choose(query, self._targets, self.now_ms)
            if target is not None:
                self._router.sent(query, target, self.now_ms)
            finish = (self.now_ms + SERVICE_TIME_MS, effect.request_id)
            self._running.append(finish)

    def _finish_due_requests(self) -> None:
        while self._running and self._running[0][0] <= self.now_ms:
            _, request_id = self._running.popleft()
            self._router.first_token(request_id, self.now_ms)
            self._admission.first_token(request_id, self.now_ms)
            for _ in range(12):
                self._router.tokens(request_id, 16, self.now_ms)
                self._admission.tokens(request_id, 16, self.now_ms)
            attempt_outcome = routing.AttemptOutcome.COMPLETED
            self._router.ended(request_id, attempt_outcome, self.now_ms)
            self._apply_effects(self._admission.ended(request_id, self.now_ms))


def measure(accounts: int, replicas: int) -> dict[str, float]:
    """Returns the microseconds per offered and per started request."""
    driver = _EntryDriver(accounts, replicas)
    driver.run(REQUESTS)
    started_before = driver.started_requests
    start_ns = time.process_time_ns()
    driver.run(REQUESTS)
    cpu_us = (time.process_time_ns() - start_ns) / 1_000
    return {
        "accounts": accounts,
        "replicas": replicas,
        "us_per_offered": cpu_us / REQUESTS,
        "us_per_started": cpu_us
        / max(1, driver.started_requests - started_before),
    }


def main() -> None:
    """Measures every size, prints a table and writes the results."""
    rows = [
        measure(accounts, replicas)
        for accounts in (10, 100, 1_000)
        for replicas in (50, 200, 1_600)
    ]
    print("| accounts | replicas | us per offered | us per started |")
    print("| --- | --- | --- | --- |")
    for row in rows:
        cells = (f"{value:.0f}" for value in row.values())
        print("| " + " | ".join(cells) + " |")
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
