"""Discrete simulation of entries, engines and requests that crash them."""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from lagooncrank import model
from lagooncrank.core import crashes

START_TO_HEAD_MS = 150
HEAD_TO_CRASH_MS = 80
HEAD_TO_FIRST_EVENT_MS = 40
HEAD_TO_SOUND_MS = 300
HEAD_TO_END_MS = 600
#: Times from the head to each of the further events of a sound run.
EVENT_INTERVAL_MS = 40
#: Runs with more events are no evidence of what crashed their engine.
MAX_EVENTS_OF_EVIDENCE = 3
CRASHING_PART = "bad"
#: Feature of a whole request that crashes engines and is sent again and again.
CRASHING_REQUEST = "request-crashing"
#: Time from a failure until the caller of the request tries again.
CALLER_RETRY_MS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Repeats:
    """A request that crashes engines, and comes in rounds of equal copies."""

    from_ms: int = 5_000
    interval_ms: int = 4_000
    #: Copies in a round, each at an entry of its own.
    copies: int = 3
    #: Time between two copies of a round.
    spacing_ms: int = 5
    #: Attempts that the caller of each copy makes at most.
    caller_attempts: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to the fleet."""

    entries: int = 9
    engines: int = 14
    requests_per_s: float = 24.0
    #: Fraction of the requests that have the crashing part.
    crashing_share: float = 0.15
    crashing_from_ms: int = 5_000
    crashing_until_ms: int = 40_000
    #: Events of a run before it crashes its engine.
    events_before_crash: int = 0
    #: Times at which a third of the engines fail at the same moment.
    domain_failures_ms: tuple[int, ...] = ()
    #: Mean time between failures of single engines for other reasons; 0: none.
    failure_interval_ms: int = 0
    #: Time until the engine of a crash is back.
    down_ms: int = 2_500
    #: Times at which an entry restarts without memory.
    entry_restarts_ms: tuple[int, ...] = ()
    repeats: Repeats | None = None
    #: Fraction of the requests that are copies of one sound request.
    frequent_share: float = 0.0
    #: Number of client accounts, each with a part in all of its prompts.
    tenants: int = 5
    end_ms: int = 60_000


@dataclasses.dataclass(slots=True)
class Outcome:
    """What came of the requests."""

    #: Times at which requests with the crashing part were sent.
    sends_ms: list[int] = dataclasses.field(default_factory=list)
    #: Times at which the crashing part crashed an engine.
    crashes_ms: list[int] = dataclasses.field(default_factory=list)
    #: Times at which sound requests arrived and were refused.
    sound_refusals_ms: list[int] = dataclasses.field(default_factory=list)
    sound_requests: int = 0

    def sends_after(self, crashes: int, delay_ms: int) -> int:
        """Returns the sends from a time after one of the crashes on."""
        if len(self.crashes_ms) < crashes:
            return 0
        since_ms = self.crashes_ms[crashes - 1] + delay_ms
        return sum(1 for sent_ms in self.sends_ms if sent_ms > since_ms)


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    entry: int
    features: tuple[str, ...]
    is_repeat: bool
    #: Attempts that its caller may still make.
    caller_attempts: int = 0
    has_begun: bool = False
    events: int = 0
    is_lost: bool = False
    began_ms: int = 0


class Fleet:
    """Runs one scenario with a seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.outcome = Outcome()
        self.scenario = scenario
        self.entries = [
            crashes.CrashEvidence(f"n{n}") for n in range(scenario.entries)
        ]
        self._control = crashes.CrashEvidence()
        self._random = random.Random(seed)
        self._now_ms = 0
        self._numbers = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._born = [0] * scenario.engines
        self._is_up = [True] * scenario.engines
        self._runs: dict[int, list[_Run]] = collections.defaultdict(list)
        self._trial_ms: dict[int, int] = {}

    def play(self) -> Outcome:
        """Plays the scenario to its end."""
        scenario = self.scenario
        self._after(0, self._arrive)
        self._after(0, self._gossip)
        for failure_ms in scenario.domain_failures_ms:
            self._after(failure_ms, self._fail_domain)
        for restart_ms in scenario.entry_restarts_ms:
            self._after(restart_ms, self._restart_entry)
        if scenario.failure_interval_ms:
            self._after(scenario.failure_interval_ms, self._fail_engine)
        if scenario.repeats is not None:
            self._after(scenario.repeats.from_ms, self._begin_round)
        while self._events:
            self._now_ms, _, action = heapq.heappop(self._events)
            if self._now_ms > scenario.end_ms:
                break
            action()
        return self.outcome

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        due_ms = self._now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._numbers), action))

    def _arrive(self) -> None:
        scenario = self.scenario
        rate = scenario.requests_per_s / 1_000
        self._after(1 + int(self._random.expovariate(rate)), self._arrive)
        tenant = f"tenant{self._random.randrange(scenario.tenants)}"
        parts = ["common", tenant, f"topic{self._random.randrange(40)}"]
        is_crashing = (
            scenario.crashing_from_ms
            <= self._now_ms
            < scenario.crashing_until_ms
            and self._random.random() < scenario.crashing_share
        )
        if is_crashing:
            parts[1] = "tenant0"
            parts.insert(self._random.randrange(1, 4), CRASHING_PART)
        parts.append(f"request-{next(self._numbers)}")
        if scenario.frequent_share and (
            self._random.random() < scenario.frequent_share
        ):
            parts = ["common", "request-frequent"]
            is_crashing = False
        entry = self._random.randrange(scenario.entries)
        if not is_crashing:
            self.outcome.sound_requests += 1
        self._send(entry, tuple(parts), is_repeat=False)

    def _begin_round(self) -> None:
        repeats = self._repeats
        self._after(repeats.interval_ms, self._begin_round)
        entries = self._random.sample(
            range(self.scenario.entries), repeats.copies
        )
        for number, entry in enumerate(entries):
            delay_ms = number * repeats.spacing_ms
            self._after(delay_ms, lambda e=entry: self._call(e))  # type: ignore[misc]

    @property
    def _repeats(self) -> Repeats:
        assert self.scenario.repeats is not None
        return self.scenario.repeats

    def _call(self, entry: int) -> None:
        attempts = self._repeats.caller_attempts
        self._send(
            entry,
            ("common", CRASHING_REQUEST),
            is_repeat=False,
            caller_attempts=attempts - 1,
        )

    def _call_again(self, run: _Run) -> None:
        entry = self._random.randrange(self.scenario.entries)
        self._send(
            entry,
            run.features,
            is_repeat=False,
            caller_attempts=run.caller_attempts - 1,
        )

    def _send(
        self,
        entry: int,
        features: tuple[str, ...],
        *,
        is_repeat: bool,
        caller_attempts: int = 0,
    ) -> None:
        is_crashing = _is_crashing(features)
        evidence = self.entries[entry]
        accusation = evidence.find(features)
        if accusation is not None and not self._starts_trial(entry, accusation):
            evidence.record_use(accusation, self._now_ms)
            if not is_crashing:
                self.outcome.sound_refusals_ms.append(self._now_ms)
            return
        running = [n for n, is_up in enumerate(self._is_up) if is_up]
        if not running:
            return
        engine = self._random.choice(running)
        delay_ms = self._random.randrange(START_TO_HEAD_MS)
        if CRASHING_REQUEST in features:
            # All copies of a round begin at the same time, each on an engine.
            running.sort(key=lambda n: sum(map(_is_copy, self._runs[n])))
            engine = running[0]
            delay_ms = 0
        if is_crashing:
            self.outcome.sends_ms.append(self._now_ms)
        run = _Run(entry, features, is_repeat, caller_attempts)
        self._runs[engine].append(run)
        self._after(delay_ms, lambda: self._begin(engine, run))

    def _starts_trial(self, entry: int, accusation: crashes.Accusation) -> bool:
        if self._now_ms < self._trial_ms.get(entry, 0):
            return False
        if not crashes.is_trial_due(
            accusation, self._now_ms, entry, self.scenario.entries
        ):
            return False
        self._trial_ms[entry] = self._now_ms + crashes.TURN_MS
        return True

    def _begin(self, engine: int, run: _Run) -> None:
        if run.is_lost:
            return
        run.has_begun = True
        run.began_ms = self._now_ms
        if _is_crashing(run.features):
            run.events = self.scenario.events_before_crash
            self._after(HEAD_TO_CRASH_MS, lambda: self._crash(engine, run))
            return
        for number in range(MAX_EVENTS_OF_EVIDENCE):
            delay_ms = HEAD_TO_FIRST_EVENT_MS + number * EVENT_INTERVAL_MS
            self._after(delay_ms, lambda: self._progress(run))
        self._after(HEAD_TO_SOUND_MS, lambda: self._sound(run))
        self._after(HEAD_TO_END_MS, lambda: self._end(engine, run))

    def _progress(self, run: _Run) -> None:
        run.events += 1

    def _sound(self, run: _Run) -> None:
        if not run.is_lost:
            evidence = self.entries[run.entry]
            evidence.record_sound(run.features, run.began_ms)

    def _end(self, engine: int, run: _Run) -> None:
        if run in self._runs[engine]:
            self._runs[engine].remove(run)

    def _crash(self, engine: int, run: _Run) -> None:
        if not run.is_lost:
            self.outcome.crashes_ms.append(self._now_ms)
            self._lose(engine)

    def _lose(self, engine: int) -> None:
        if not self._is_up[engine]:
            return
        self._is_up[engine] = False
        lost = self._runs.pop(engine, [])
        for run in lost:
            run.is_lost = True
            self._record_lost(engine, run)
        self._after(self.scenario.down_ms, lambda: self._restart(engine))

    def _record_lost(self, engine: int, run: _Run) -> None:
        evidence = self.entries[run.entry]
        if run.has_begun and run.events < MAX_EVENTS_OF_EVIDENCE:
            evidence.record_crash(
                model.BackendServerId(f"e{engine}"),
                self._born[engine],
                run.features,
                run.events,
                self._now_ms,
            )
            self._publish(run.entry)
        if not run.is_repeat and evidence.may_repeat(run.features):
            self._send(
                run.entry,
                run.features,
                is_repeat=True,
                caller_attempts=run.caller_attempts,
            )
        elif run.caller_attempts:
            self._after(CALLER_RETRY_MS, lambda: self._call_again(run))

    def _restart(self, engine: int) -> None:
        self._born[engine] = self._now_ms
        self._is_up[engine] = True

    def _fail_domain(self) -> None:
        for engine in range(0, self.scenario.engines, 3):
            self._lose(engine)

    def _fail_engine(self) -> None:
        self._lose(self._random.randrange(self.scenario.engines))
        self._after(self.scenario.failure_interval_ms, self._fail_engine)

    def _restart_entry(self) -> None:
        entry = self._random.randrange(self.scenario.entries)
        origin = f"n{entry} since {self._now_ms}"
        self.entries[entry] = crashes.CrashEvidence(origin)
        batch = self._control.batch(self._now_ms)
        self._after(300, lambda: self._deliver(entry, batch))

    def _gossip(self) -> None:
        self._after(250, self._gossip)
        for entry, evidence in enumerate(self.entries):
            evidence.evict_expired(self._now_ms)
            self._publish(entry)
        self._control.evict_expired(self._now_ms)
        if self._now_ms % 2_000 < 250:
            batch = self._control.batch(self._now_ms)
            for entry in range(len(self.entries)):
                self._after(20, lambda e=entry: self._deliver(e, batch))  # type: ignore[misc]

    def _publish(self, entry: int) -> None:
        batch = self.entries[entry].pop_unsent(self._now_ms)
        if batch.records or batch.sound:
            delay_ms = self._random.randrange(5, 40)
            self._after(delay_ms, lambda: self._relay(batch))

    def _relay(self, batch: crashes.EvidenceBatch) -> None:
        self._control.merge(batch, self._now_ms, is_relay=True)
        news = self._control.pop_unsent(self._now_ms)
        if news.records or news.sound:
            for entry in range(len(self.entries)):
                delay_ms = self._random.randrange(5, 40)
                self._after(delay_ms, lambda e=entry: self._deliver(e, news))  # type: ignore[misc]

    def _deliver(self, entry: int, batch: crashes.EvidenceBatch) -> None:
        self.entries[entry].merge(batch, self._now_ms, is_relay=False)


def _is_crashing(features: tuple[str, ...]) -> bool:
    return CRASHING_PART in features or CRASHING_REQUEST in features


def _is_copy(run: _Run) -> bool:
    return CRASHING_REQUEST in run.features
