"""Engines of a simulated fleet, which carry out orders and send reports."""

import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core import groups

#: Time to join a group whose model the engine's last group served.
REJOIN_MS: Final = 200
#: Time from the order to open until the head serves.
OPEN_MS: Final = 300
#: Time that a head takes to finish its requests when it closes.
CLOSE_MS: Final = 1_000


class WeightStore:
    """Store from which a limited number of hosts load at full speed."""

    def __init__(self, max_concurrent_loads: int) -> None:
        self._max_concurrent_loads = max_concurrent_loads
        self._active = 0

    def begin(self) -> None:
        """Counts a load that starts."""
        self._active += 1

    def end(self) -> None:
        """Removes a load that ended."""
        self._active -= 1

    def progress_ms(self, elapsed_ms: int) -> float:
        """Returns the progress that each load makes, in ms of full speed."""
        if self._active <= self._max_concurrent_loads:
            return elapsed_ms
        return elapsed_ms * self._max_concurrent_loads / self._active


@dataclasses.dataclass(slots=True)
class _Load:
    profile: model.ModelProfile
    remaining_ms: float
    #: Whether it shares the speed of the store with other loads.
    is_counted: bool


@dataclasses.dataclass(slots=True)
class _Join:
    group: model.Group
    remaining_ms: float
    #: The join waits for this load first.
    load: _Load | None = None


class SimulatedEngine:
    """One engine with its host."""

    def __init__(
        self,
        report: model.ServerReport,
        profiles: dict[str, model.ModelProfile],
        store: WeightStore,
    ) -> None:
        self.report = report
        self.is_lost = False
        self._profiles = profiles
        self._store = store
        self._resident: str | None = None
        self._load: _Load | None = None
        self._join: _Join | None = None
        self._change_at_ms: int | None = None

    @property
    def open_epoch(self) -> int | None:
        """Epoch of the group that this engine serves as its open head."""
        membership = self.report.membership
        if membership is None or self.is_lost:
            return None
        is_open = membership.state is model.MemberState.OPEN
        return membership.epoch if is_open else None

    def renew_report(self) -> None:
        """Sends the report again, as a heartbeat."""
        self._publish()

    def lose(self) -> None:
        """Loses the engine for good."""
        self.is_lost = True
        self._end_load()

    def stage(self, model_name: str, *, is_startup: bool) -> None:
        """Starts to load a model onto the host."""
        if self._load is not None or model_name in self.report.staged:
            return
        self._begin_load(self._profiles[model_name], is_startup)

    def execute(
        self, order: groups.Order, now_ms: int, *, is_startup: bool
    ) -> None:
        """Carries out an order of the leader."""
        if self.is_lost:
            return
        match order.kind:
            case groups.OrderKind.JOIN:
                self._begin_join(order.group, is_startup)
            case groups.OrderKind.OPEN:
                self._change_at_ms = now_ms + OPEN_MS
            case groups.OrderKind.CLOSE:
                self._set_state(model.MemberState.CLOSING)
                self._change_at_ms = now_ms + CLOSE_MS
            case groups.OrderKind.CLOSE_NOW:
                self._set_state(model.MemberState.READY)
            case groups.OrderKind.LEAVE:
                self._join = None
                self._publish(membership=None, loaded=())

    def advance(self, elapsed_ms: int, now_ms: int) -> None:
        """Advances the engine's load, join and state changes."""
        if self.is_lost:
            return
        self._advance_load(elapsed_ms)
        self._advance_join(elapsed_ms)
        if self._change_at_ms is not None and now_ms >= self._change_at_ms:
            self._change_at_ms = None
            self._finish_change()

    def _finish_change(self) -> None:
        membership = self.report.membership
        if membership is None:
            return
        if membership.state is model.MemberState.READY:
            self._set_state(model.MemberState.OPEN)
        elif membership.state is model.MemberState.CLOSING:
            self._set_state(model.MemberState.READY)

    def _begin_join(self, group: model.Group, is_startup: bool) -> None:
        profile = self._profiles[group.model_name]
        load: _Load | None = None
        remaining_ms: float = profile.warm_load_ms
        if self._resident == profile.name:
            remaining_ms = REJOIN_MS
        elif profile.name not in self.report.staged:
            if self._load is None or self._load.profile is not profile:
                self._end_load()
                self._begin_load(profile, is_startup)
            load = self._load
            remaining_ms = 0
        self._join = _Join(group, remaining_ms, load)
        self._resident = None
        rank = [m.server_id for m in group.members].index(self.report.server_id)
        self._publish(
            membership=model.Membership(
                group.name, group.epoch, rank, model.MemberState.JOINING
            ),
            loaded=(),
        )

    def _advance_join(self, elapsed_ms: int) -> None:
        join = self._join
        if join is None:
            return
        if join.load is not None:
            if join.load.remaining_ms > 0:
                return
            join.load = None
        join.remaining_ms -= elapsed_ms
        if join.remaining_ms > 0:
            return
        self._join = None
        self._resident = join.group.model_name
        membership = self.report.membership
        assert membership is not None
        self._publish(
            membership=dataclasses.replace(
                membership, state=model.MemberState.READY
            ),
            loaded=(join.group.model_name,),
            # A join stages the model, whether or not it was in memory, and
            # the host keeps only one.
            staged=(join.group.model_name,),
        )

    def _begin_load(
        self, profile: model.ModelProfile, is_startup: bool
    ) -> None:
        # Loads before the first request take a tenth of the time, and slow
        # no other load.
        duration_ms = profile.load_ms / (10 if is_startup else 1)
        self._load = _Load(profile, duration_ms, not is_startup)
        if self._load.is_counted:
            self._store.begin()

    def _advance_load(self, elapsed_ms: int) -> None:
        load = self._load
        if load is None:
            return
        progress_ms: float = elapsed_ms
        if load.is_counted:
            progress_ms = self._store.progress_ms(elapsed_ms)
        load.remaining_ms -= progress_ms
        if load.remaining_ms <= 0:
            self._end_load()
            self._publish(staged=(load.profile.name,))

    def _end_load(self) -> None:
        if self._load is not None and self._load.is_counted:
            self._store.end()
        self._load = None

    def _set_state(self, state: model.MemberState) -> None:
        membership = self.report.membership
        if membership is not None:
            self._publish(
                membership=dataclasses.replace(membership, state=state)
            )

    def _publish(self, **changes: object) -> None:
        self.report = dataclasses.replace(
            self.report,
            sequence=self.report.sequence + 1,
            **changes,  # type: ignore[arg-type]
        )
