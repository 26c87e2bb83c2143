"""Discrete event simulation of the fairness benchmark."""

from collections.abc import Callable
import functools
import heapq

from bench import _batching
from bench import _entry
from bench import _outcomes
from bench import _scenario
from bench import _workload
from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import retry
from lagooncrank.core import routing

TICK_INTERVAL_MS = 20
LOAD_REPORT_INTERVAL_MS = 1_000
#: Time until the entries remove a failed replica from their targets.
REPLICA_EXPIRY_MS = 2_500
#: Network delay from an entry to a replica.
ONE_WAY_DELAY_MS = 1.0


class Simulation:
    """Runs one scenario under one set of policies."""

    def __init__(
        self, scenario: _scenario.Scenario, policies: _scenario.Policies
    ) -> None:
        self.outcome = _outcomes.RunOutcome()
        self._scenario = scenario
        self._now_ms = 0.0
        #: Heap of events: time, order of insertion and action.
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_events = 0
        #: Number of arrivals sent to another entry because theirs had failed.
        self._rerouted_arrivals = 0
        straggler_count = round(scenario.straggler_fraction * scenario.replicas)
        self._replicas = {
            f"replica-{index}": _batching.BatchingReplica(
                f"replica-{index}",
                scenario.slots_per_replica,
                scenario.slowdown if index < straggler_count else 1.0,
            )
            for index in range(scenario.replicas)
        }
        #: Entry and request of each running sequence.
        self._owners: dict[
            _batching.Sequence, tuple[_entry.Entry, _entry.Request]
        ] = {}
        #: Replicas that the entries have as targets.
        self._listed_replicas = set(self._replicas)
        #: Newest load report of each replica and its time of arrival.
        self._loads: dict[str, tuple[model.LoadReport, int]] = {}
        self._entries = [
            _entry.Entry(
                scenario,
                policies,
                index,
                self.outcome,
                self._start_attempt,
                self._cancel_attempt,
            )
            for index in range(scenario.entries)
        ]

    def run(self) -> _outcomes.RunOutcome:
        """Runs the scenario and returns its outcome."""
        scenario = self._scenario
        self._refresh_targets()
        for arrival in _workload.arrivals(
            scenario.loads, scenario.duration_ms, scenario.seed
        ):
            self._schedule_at(
                arrival.at_ms, functools.partial(self._offer_arrival, arrival)
            )
        for entry in self._entries:
            self._schedule_at(
                entry.index * 3.0, functools.partial(self._tick, entry)
            )
            self._schedule_at(
                entry.index * 31.0,
                functools.partial(self._send_usage_report, entry),
            )
        for index, replica in enumerate(self._replicas.values()):
            self._schedule_at(
                index * 20.0, functools.partial(self._send_load_report, replica)
            )
        if scenario.domain_failure_ms >= 0:
            self._schedule_at(scenario.domain_failure_ms, self._fail_domain)
        while self._events and self._events[0][0] < scenario.duration_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _schedule_at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._scheduled_events += 1
        heapq.heappush(self._events, (at_ms, self._scheduled_events, action))

    def _schedule_after(
        self, delay_ms: float, action: Callable[[], None]
    ) -> None:
        self._schedule_at(self._now_ms + delay_ms, action)

    def _offer_arrival(self, arrival: _workload.Arrival) -> None:
        entry = self._entries[arrival.entry]
        if not entry.is_alive:
            alive = [other for other in self._entries if other.is_alive]
            self._rerouted_arrivals += 1
            entry = alive[self._rerouted_arrivals % len(alive)]
        entry.offer(arrival, self._now_ms)

    def _tick(self, entry: _entry.Entry) -> None:
        if not entry.is_alive:
            return
        entry.update_unresponsive_entries(self._now_ms)
        entry.set_capacity(self._now_ms)
        effects = entry.admission.tick(int(self._now_ms))
        entry.apply_effects(effects, self._now_ms)
        self._schedule_after(TICK_INTERVAL_MS, lambda: self._tick(entry))

    def _send_usage_report(self, entry: _entry.Entry) -> None:
        if not entry.is_alive:
            return
        report = entry.admission.usage_report(int(self._now_ms))
        for other in self._entries:
            if other is entry or self._are_disconnected(entry, other):
                continue
            self.outcome.reports += 1
            self.outcome.report_bytes += len(model.to_cbor(report))
            self._schedule_after(
                self._scenario.usage_report_delay_ms,
                functools.partial(self._receive_usage_report, other, report),
            )
        interval_ms = admission.LIMITS_INTERVAL_MS
        self._schedule_after(
            interval_ms, lambda: self._send_usage_report(entry)
        )

    def _are_disconnected(self, one: _entry.Entry, two: _entry.Entry) -> bool:
        since_ms = self._scenario.entry_isolation_ms
        return 0 <= since_ms <= self._now_ms and 0 in (one.index, two.index)

    def _receive_usage_report(
        self, entry: _entry.Entry, report: admission.UsageReport
    ) -> None:
        if entry.is_alive:
            entry.last_seen_ms[report.node_id] = self._now_ms
            effects = entry.admission.observe_usage(report, int(self._now_ms))
            entry.apply_effects(effects, self._now_ms)

    def _send_load_report(self, replica: _batching.BatchingReplica) -> None:
        if not replica.is_alive:
            return
        delay_ms = self._scenario.load_report_delay_ms
        report = model.LoadReport(
            replica.running, replica.queued, age_ms=delay_ms
        )
        self._schedule_after(
            delay_ms, lambda: self._receive_load_report(replica.name, report)
        )
        self._schedule_after(
            LOAD_REPORT_INTERVAL_MS, lambda: self._send_load_report(replica)
        )

    def _receive_load_report(self, name: str, report: model.LoadReport) -> None:
        self._loads[name] = (report, int(self._now_ms))
        self._refresh_targets()

    def _refresh_targets(self) -> None:
        """Passes the targets and their newest load to every entry."""
        slots = self._scenario.slots_per_replica
        no_load = (model.LoadReport(), 0)
        targets = [
            routing.Target(
                name,
                "127.0.0.1:1",
                _domain(index),
                "1",
                *self._loads.get(name, no_load),
                concurrency=slots,
            )
            for index, name in enumerate(self._replicas)
            if name in self._listed_replicas
        ]
        for entry in self._entries:
            if entry.is_alive:
                entry.targets = targets
                entry.set_capacity(self._now_ms)

    def _start_attempt(
        self, entry: _entry.Entry, request: _entry.Request
    ) -> bool:
        replica = self._replicas[request.replica]
        if not replica.is_alive:
            return False
        arrival = request.arrival
        sequence = _batching.Sequence(
            request.request_id,
            arrival.account,
            request.priority,
            arrival.prompt_tokens + request.delivered_tokens,
            arrival.output_tokens - request.delivered_tokens,
        )
        request.sequence = sequence
        self._owners[sequence] = (entry, request)
        self._schedule_after(
            ONE_WAY_DELAY_MS, lambda: self._enqueue_sequence(replica, sequence)
        )
        return True

    def _enqueue_sequence(
        self, replica: _batching.BatchingReplica, sequence: _batching.Sequence
    ) -> None:
        if sequence.cancelled or not replica.is_alive:
            return
        replica.enqueue(sequence)
        if not replica.is_stepping:
            self._begin_step(replica)

    def _cancel_attempt(self, request: _entry.Request) -> int:
        sequence = request.sequence
        if sequence is None or sequence not in self._owners:
            return 0
        del self._owners[sequence]
        return self._replicas[request.replica].cancel(sequence)

    def _begin_step(self, replica: _batching.BatchingReplica) -> None:
        duration_ms = replica.begin_step()
        replica.is_stepping = duration_ms > 0
        if not replica.is_stepping:
            return
        self.outcome.busy_slot_ms += duration_ms * replica.running
        self._schedule_after(
            duration_ms, lambda: self._end_step(replica, duration_ms)
        )

    def _end_step(
        self, replica: _batching.BatchingReplica, duration_ms: float
    ) -> None:
        if not replica.is_alive:
            return
        for account, count in replica.decoding.items():
            if count:
                token_gap_ms = self.outcome.accounts[account].token_gap_ms
                token_gap_ms.add(duration_ms, count)
        for progress in replica.end_step():
            owner = self._owners.get(progress.sequence)
            if owner is None:
                continue
            if progress.is_done:
                del self._owners[progress.sequence]
            owner[0].record_progress(owner[1], progress, self._now_ms)
        self._begin_step(replica)

    def _fail_domain(self) -> None:
        """Makes the entries and replicas of failure domain 0 fail."""
        failed_domain = _domain(0)
        failed_replicas = set()
        for index, replica in enumerate(self._replicas.values()):
            if _domain(index) == failed_domain:
                replica.is_alive = False
                failed_replicas.add(replica.name)
        for entry in self._entries:
            entry.is_alive = entry.is_alive and entry.domain != failed_domain
        self._schedule_after(
            REPLICA_EXPIRY_MS, lambda: self._unlist_replicas(failed_replicas)
        )
        for sequence, (entry, request) in tuple(self._owners.items()):
            if request.replica not in failed_replicas and entry.is_alive:
                continue
            if entry.is_alive:
                del self._owners[sequence]
                self._fail_attempt(entry, request)
            else:
                self._abandon_request(sequence, request)

    def _fail_attempt(
        self, entry: _entry.Entry, request: _entry.Request
    ) -> None:
        entry.handle_failure(
            request,
            routing.AttemptOutcome.LOST,
            retry.FailureKind.CONNECTION_LOST,
            self._now_ms,
        )

    def _abandon_request(
        self, sequence: _batching.Sequence, request: _entry.Request
    ) -> None:
        """Ends a request whose entry failed.

        The replica cancels the sequence because its connection is closed.
        """
        self.outcome.accounts[request.arrival.account].failed += 1
        del self._owners[sequence]
        self._replicas[request.replica].cancel(sequence)

    def _unlist_replicas(self, failed_replicas: set[str]) -> None:
        self._listed_replicas -= failed_replicas
        self._refresh_targets()


def _domain(index: int) -> model.FailureDomainId:
    return model.FailureDomainId(f"fd-{index % _scenario.FAILURE_DOMAINS}")
