"""All that callers, servers and operators saw, and the checks of it."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final

from lagooncrank import clock as clocks
from soak import _budget
from soak import _charges
from soak import _config_history
from soak import _crashes
from soak import _deadlines
from soak import _disturbances
from soak import _drain
from soak import _given_up
from soak import _history
from soak import _left_callers
from soak import _lost
from soak import _rests

DRAIN_S: Final = 2.0
#: Requests that may run on more servers than their route allows.
ALLOWED_EXCESSES: Final = 3
MAX_ATTEMPTS: Final = 2
_MS_PER_S: Final = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment's settings and checks share."""

    loss: _lost.LossRules
    config: _config_history.ConfigRules
    budget: _budget.BudgetRules

    @classmethod
    def usual(
        cls, budget: _budget.BudgetRules = _budget.BINDING_RULES
    ) -> "Bounds":
        """Returns the operators' usual bounds, with a budget that binds."""
        return cls(
            _lost.LossRules(),
            _config_history.ConfigRules(),
            budget,
        )


class Checks:
    """Collects what was seen; finds violations in it.

    Args:
        disturbances: What the soak itself disturbed.
        bounds: Bounds of the deployment.
        now_s: Clock.
    """

    def __init__(
        self,
        disturbances: _disturbances.Disturbances,
        bounds: Bounds,
        now_s: Callable[[], float],
    ) -> None:
        self.disturbances = disturbances
        self.bounds = bounds
        self.now_s = now_s
        self.history = _history.RequestHistory()
        self.arrivals = _budget.Arrivals()
        self.account = _charges.Account()
        self.deadlines = _deadlines.Deadlines()
        self.rests = _rests.Rests()
        self.crashes = _crashes.Crashes()
        self.planned_work = _lost.PlannedWork(disturbances, bounds.loss)
        self.config = _config_history.ConfigHistory(bounds.config)
        self.left_callers = _left_callers.LeftCallers()
        #: Whether pauses of entries are all that happens: links pass on at
        #: once that a caller has left, so that this counts at any time, and
        #: no server is silent.
        self.has_pauses_only = False
        self.left_servers = _drain.LeftServers(DRAIN_S)
        #: Requests whose connections ended without a whole answer.
        self.cuts: list[_lost.CutRequest] = []
        #: Probes that showed a document, and those of them in touch.
        self.probes = 0
        self.probes_in_touch = 0

    def record_request(self, request: _history.SentRequest) -> None:
        """Records a request before its caller sends it."""
        self.history.record_request(request)
        self.arrivals.record_request(request.service, self.now_s())

    def record_arrival(
        self,
        service: str,
        server_id: str,
        attempt_id: str,
        limit_ms: int | None,
    ) -> None:
        """Records that a server has read a request, whether it runs or not."""
        now_s = self.now_s()
        self.arrivals.record_arrival(service, attempt_id, now_s)
        self.left_callers.record_arrival(attempt_id, _wall_ms())
        self.deadlines.record_arrival(attempt_id, limit_ms, now_s, server_id)
        self.crashes.record_arrival(attempt_id, now_s)
        self.rests.record_arrival(
            server_id, self.history.request(attempt_id).entry, attempt_id, now_s
        )
        self.account.record_arrival(
            _charges.Arrival(attempt_id, service, server_id, now_s)
        )

    def record_crash(self, attempt_id: str) -> None:
        """Records that a request has crashed a server."""
        self.crashes.record_crash(attempt_id, self.now_s())

    def record_rest(
        self, server_id: str, attempt_id: str, rest_s: float
    ) -> None:
        """Records that a server has answered a request with a wish for rest."""
        self.rests.record_refusal(
            server_id,
            self.history.request(attempt_id).entry,
            rest_s,
            self.now_s(),
        )

    def record_left(self, attempt_id: str) -> None:
        """Records that a caller has just closed its connection."""
        self.left_callers.record_left(attempt_id, _wall_ms())

    def record_probe(self, probe: _config_history.Probe) -> None:
        """Records and checks how an entry handled a probe."""
        self.probes += 1
        self.probes_in_touch += probe.is_in_touch
        for violation in self.config.record_probe(probe):
            self.history.record_violation(violation)

    def record_cut(
        self,
        attempt_id: str,
        sent_s: float,
        limit_s: float,
        *,
        is_kept: bool,
        has_begun: bool,
    ) -> None:
        """Records that a request ended now without a complete answer."""
        self.cuts.append(
            _lost.CutRequest(
                attempt_id,
                self.history.request(attempt_id).entry,
                sent_s,
                self.now_s(),
                limit_s,
                tuple(self.history.runs(attempt_id)),
                is_kept,
                has_begun,
            )
        )

    def finish(
        self,
        charges: Mapping[str, int],
        noticed_ms: Mapping[str, int],
        given_up: Sequence[_given_up.GivenUpRun],
    ) -> list[str]:
        """Returns all violations; call it once, after the end.

        Args:
            charges: How often each request was charged.
            noticed_ms: When entries noticed that callers had left.
            given_up: Streams that entries gave up as silent.
        """
        now_s = self.now_s()
        changes = self.config.changes()
        for violation in (
            *self.planned_work.violations(self.cuts, changes, now_s),
            *self.arrivals.violations(self.bounds.budget),
            *self.account.violations(charges),
            *self.deadlines.violations(),
            *self.config.rate_violations(),
            *self.left_servers.violations(self._was_entry_in_touch),
            *self.rests.violations(self._was_entry_in_touch),
            *self.crashes.violations(self._was_entry_in_touch),
            *self.left_callers.violations(noticed_ms, self._counts_as_left),
            *_given_up.violations(given_up, self._was_given_up_sound),
            *self._excesses(),
        ):
            self.history.record_violation(violation)
        return self.history.finish()

    def summary(self, charges: Mapping[str, int]) -> str:
        """Returns how much there was to judge."""
        return (
            f"{self.account.summary(charges)}, {self.deadlines.summary()}, "
            f"{len(self.cuts)} cut requests, "
            f"{self.planned_work.known_cuts} in stops of older builds, "
            f"repeats {self.arrivals.repeats()}, "
            f"fullest window {self.arrivals.fullest(self.bounds.budget):.2f}, "
            f"{self.rests.summary()}, {self.crashes.summary()}, "
            f"{self.left_callers.left} callers left of which "
            f"{self.left_callers.late} were served late,"
            f" {self.probes} probes of which {self.probes_in_touch} in touch"
        )

    def _counts_as_left(self, late: _left_callers.LateRequest) -> bool:
        # Delays of this process count as disturbances of the core: servers,
        # which run here, read late then.
        entry = self.history.request(late.attempt_id).entry
        owner = "" if self.has_pauses_only else entry
        left_s = self._seconds_at(late.left_ms)
        arrived_s = self._seconds_at(late.arrived_ms)
        return self.disturbances.is_in_touch(owner, left_s, arrived_s)

    def _was_given_up_sound(self, run: _given_up.GivenUpRun) -> bool:
        """Whether all servers went on before an entry gave one up.

        With pauses of entries alone only delays of this process, in which the
        servers run, can have kept them from it.
        """
        at_s = self._seconds_at(run.at_ms)
        return self.has_pauses_only and self.disturbances.is_in_touch(
            "", at_s, at_s
        )

    def _seconds_at(self, wall_ms: int) -> float:
        """Returns a time of the wall clock on the clock of this process."""
        return self.now_s() - (_wall_ms() - wall_ms) / _MS_PER_S

    def _was_entry_in_touch(self, attempt_id: str, now_s: float) -> bool:
        entry = self.history.request(attempt_id).entry
        return self.disturbances.is_in_touch(entry, now_s, now_s)

    def _excesses(self) -> Iterator[str]:
        """Yields requests that ran on more servers than their route allows."""
        ends_s = self.now_s()
        excesses = []
        for attempt_id, servers in self.history.all_runs():
            sound = {
                s for s in servers if self.disturbances.is_sound(s, 0.0, ends_s)
            }
            if len(sound) > MAX_ATTEMPTS:
                excesses.append(attempt_id)
        if len(excesses) > ALLOWED_EXCESSES:
            yield (
                f"BUDGET: {len(excesses)} requests ran on more than "
                f"{MAX_ATTEMPTS} servers: {excesses[:10]}"
            )


def _wall_ms() -> int:
    """Returns the wall clock, as in the logs of the nodes."""
    return clocks.SystemClock().wall_ms()
