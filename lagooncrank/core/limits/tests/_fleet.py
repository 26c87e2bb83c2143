"""Simulation of entries that send to servers with limits.

Time advances in steps. Requests arrive at entries at random, wait for a permit
as long as their callers do, and are refused after that.
"""

import bisect
import collections
import dataclasses
import random

from lagooncrank import model
from lagooncrank.core import limits

STEP_MS = 10
#: One way between an entry and a control node.
MAX_DELAY_STEPS = 2
ISSUE_STEPS = 2
#: Span of the rule, in which requests are counted.
SPAN_MS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Entries that reach none, or only some, of the control nodes."""

    from_ms: int
    until_ms: int
    entries: tuple[int, ...]
    controls: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Servers, entries, and what happens to them."""

    entries: int = 9
    controls: int = 3
    #: Requests per second that each server states.
    rates_per_s: tuple[float, ...] = (1.4, 2.2, 0.5)
    #: Requests per second at all entries together.
    requests_per_s: float = 12.0
    #: How long a request waits for a permit.
    patience_ms: int = 1_000
    cuts: tuple[Cut, ...] = ()
    #: Times at which control nodes restart without memory.
    control_restarts_ms: tuple[tuple[int, int], ...] = ()
    #: Times at which entries restart without permits.
    entry_restarts_ms: tuple[tuple[int, int], ...] = ()
    end_ms: int = 30_000


@dataclasses.dataclass(slots=True)
class Outcome:
    """What came of the requests, and the messages that it took."""

    #: Times of the requests that each server received.
    sends_ms: dict[limits.Process, list[int]]
    refused: int = 0
    requests: int = 0
    messages: list[limits.PermitRequests | limits.PermitGrants] = (
        dataclasses.field(default_factory=list)
    )

    def most_in_span(self, process: limits.Process) -> int:
        """Returns the most requests of a server in any span of 4 s."""
        sends_ms = self.sends_ms[process]
        return max(
            (
                bisect.bisect_left(sends_ms, start_ms + SPAN_MS) - index
                for index, start_ms in enumerate(sends_ms)
            ),
            default=0,
        )


@dataclasses.dataclass(slots=True)
class _Entry:
    node_id: model.NodeId
    client: limits.PermitClient
    #: Times until which requests wait, oldest first.
    waiting: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )


class Fleet:
    """Plays one scenario with a seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        random.seed(seed)
        self._now_ms = 0
        self._table = limits.LimitTable()
        self._processes = tuple(
            (model.BackendServerId(f"s{n}"), 1)
            for n in range(len(scenario.rates_per_s))
        )
        for process, rate in zip(
            self._processes, scenario.rates_per_s, strict=True
        ):
            stated = limits.StatedLimit(limits.LimitKind.RATE, rate)
            self._table.record_response(process, stated, 0, 0)
        self._controls = {
            model.NodeId(f"c{n}"): limits.PermitIssuer()
            for n in range(scenario.controls)
        }
        self._entries = [
            _Entry(
                model.NodeId(f"n{n}"),
                limits.PermitClient(model.NodeId(f"n{n}"), self._table),
            )
            for n in range(scenario.entries)
        ]
        self._local = {
            entry.node_id: limits.PermitIssuer.for_one_of(scenario.entries)
            for entry in self._entries
        }
        self._in_transit: dict[
            int, list[tuple[model.NodeId, model.NodeId, object]]
        ] = collections.defaultdict(list)
        self.outcome = Outcome({p: [] for p in self._processes})

    def play(self) -> Outcome:
        """Plays the scenario to its end."""
        steps = self._scenario.end_ms // STEP_MS
        for step in range(steps):
            self._now_ms = step * STEP_MS
            self._restart_nodes()
            for sender, recipient, body in self._in_transit.pop(step, ()):
                self._receive(sender, recipient, body, step)
            if step % ISSUE_STEPS == 0:
                for control, issuer in self._controls.items():
                    issued = issuer.collect(self._table.limited, self._now_ms)
                    self._send_permits(control, list(issued), step)
                for entry in self._entries:
                    own_issuer = self._local[entry.node_id]
                    issued = own_issuer.collect(
                        self._table.limited, self._now_ms
                    )
                    self._add_own_permits(entry, list(issued))
            for entry in self._entries:
                self._serve(entry, step)
        return self.outcome

    def _restart_nodes(self) -> None:
        for at_ms, number in self._scenario.control_restarts_ms:
            if at_ms == self._now_ms:
                self._controls[model.NodeId(f"c{number}")] = (
                    limits.PermitIssuer()
                )
        for at_ms, number in self._scenario.entry_restarts_ms:
            if at_ms == self._now_ms:
                node_id = self._entries[number].node_id
                client = limits.PermitClient(node_id, self._table)
                self._entries[number] = _Entry(node_id, client)

    def _connected(self, entry: model.NodeId) -> list[model.NodeId]:
        controls = list(self._controls)
        for cut in self._scenario.cuts:
            if (
                cut.from_ms <= self._now_ms < cut.until_ms
                and int(entry[1:]) in cut.entries
            ):
                controls = [
                    c for c in controls if int(c[1:]) not in cut.controls
                ]
        return controls

    def _serve(self, entry: _Entry, step: int) -> None:
        scenario = self._scenario
        share_per_s = scenario.requests_per_s / scenario.entries
        if self._random.random() < share_per_s * STEP_MS / 1_000:
            entry.waiting.append(self._now_ms + scenario.patience_ms)
            self.outcome.requests += 1
        while entry.waiting and self._send_one(entry):
            entry.waiting.popleft()
        while entry.waiting and entry.waiting[0] <= self._now_ms:
            entry.waiting.popleft()
            self.outcome.refused += 1
        if not entry.waiting:
            return
        batches = entry.client.request(
            self._processes,
            len(entry.waiting),
            self._connected(entry.node_id),
            self._now_ms,
            self._now_ms,
        )
        for issuer, batch in batches.items():
            if issuer == entry.node_id:
                self._request_locally(entry, batch)
            else:
                self._send(entry.node_id, issuer, batch, step)

    def _request_locally(
        self, entry: _Entry, batch: limits.PermitRequests
    ) -> None:
        issued = self._issue(entry.node_id, batch, entry.node_id)
        self._add_own_permits(entry, issued)

    def _add_own_permits(
        self, entry: _Entry, issued: list[limits.IssuedPermits]
    ) -> None:
        grants = tuple(permits.grant for permits in issued)
        entry.client.record_response(entry.node_id)
        entry.client.add(limits.PermitGrants(grants), self._now_ms)

    def _send_one(self, entry: _Entry) -> bool:
        for process in self._processes:
            if entry.client.use(process, self._now_ms):
                self.outcome.sends_ms[process].append(self._now_ms)
                return True
        return False

    def _receive(
        self,
        sender: model.NodeId,
        recipient: model.NodeId,
        body: object,
        step: int,
    ) -> None:
        if isinstance(body, limits.PermitRequests):
            issued = list(self._issue(sender, body, recipient))
            self._send_permits(recipient, issued, step)
        elif isinstance(body, limits.PermitGrants):
            client = self._entries[int(recipient[1:])].client
            client.record_response(sender)
            client.add(body, self._now_ms)

    def _issue(
        self,
        entry: model.NodeId,
        batch: limits.PermitRequests,
        issuing_node: model.NodeId,
    ) -> list[limits.IssuedPermits]:
        issuer = self._controls.get(issuing_node) or self._local[issuing_node]
        issued = issuer.request_all(
            entry, batch, self._table.limited, self._now_ms
        )
        return list(issued)

    def _send_permits(
        self,
        control: model.NodeId,
        issued: list[limits.IssuedPermits],
        step: int,
    ) -> None:
        by_entry: dict[model.NodeId, list[limits.PermitGrant]] = {}
        for permits in issued:
            by_entry.setdefault(permits.entry, []).append(permits.grant)
        for entry, grants in by_entry.items():
            batch = limits.PermitGrants(tuple(grants))
            self._send(control, entry, batch, step)

    def _send(
        self,
        sender: model.NodeId,
        recipient: model.NodeId,
        body: limits.PermitRequests | limits.PermitGrants,
        step: int,
    ) -> None:
        self.outcome.messages.append(body)
        entry = sender if sender.startswith("n") else recipient
        control = recipient if entry == sender else sender
        if control in self._connected(entry):
            arrives = step + self._random.randint(1, MAX_DELAY_STEPS)
            self._in_transit[arrives].append((sender, recipient, body))
