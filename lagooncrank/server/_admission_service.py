"""Carries out what admission decides for the requests of one entry."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import functools

import mode

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import admission

TICK_INTERVAL_S = 0.02


class RequestHandle:
    """One request between its offer and its end."""

    def __init__(self) -> None:
        self._started: asyncio.Future[int] = _new_future()
        #: Called when the request must give its capacity back.
        self.on_suspend: Callable[[], None] | None = None

    async def wait_for_start(self) -> int:
        """Waits until admission starts the request.

        Returns:
            The priority at the engine.

        Raises:
            LagooncrankError: Admission refused the request.
        """
        return await self._started

    def start(self, priority: int) -> None:
        """Lets the request run."""
        if not self._started.done():
            self._started.set_result(priority)

    def refuse(self, refusal: results.Refusal) -> None:
        """Ends the request's wait with a refusal."""
        if not self._started.done():
            self._started.set_exception(results.LagooncrankError(refusal))
            self._started.exception()

    def suspend(self) -> None:
        """Takes the capacity back; the request waits for another start."""
        self._started = _new_future()
        if self.on_suspend is not None:
            self.on_suspend()


class AdmissionService(mode.Service):
    """Offers requests to admission and hands its effects to them."""

    def __init__(
        self, policy: admission.AdmissionPolicy, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._policy = policy
        self._clock = clock
        self._tickets: dict[model.RequestId, RequestHandle] = {}
        self._capacities: dict[model.ServiceName, admission.Capacity] = {}

    def configure(self, declarations: model.Declarations) -> None:
        """Takes new declarations into use."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.configure(declarations, now_ms))

    def set_capacity(self, capacity: admission.Capacity) -> None:
        """Takes the capacity of one service; a repeat is ignored."""
        if self._capacities.get(capacity.service) == capacity:
            return
        self._capacities[capacity.service] = capacity
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.set_capacity(capacity, now_ms))

    @contextlib.contextmanager
    def offered(self, offer: admission.Offer) -> Iterator[RequestHandle]:
        """Offers a request; the end of the `with` statement ends it."""
        ticket = RequestHandle()
        self._tickets[offer.request_id] = ticket
        self.apply_effects(self._policy.offer(offer, self._clock.now_ms()))
        try:
            yield ticket
        finally:
            del self._tickets[offer.request_id]
            now_ms = self._clock.now_ms()
            self.apply_effects(self._policy.ended(offer.request_id, now_ms))

    def first_token(self, request_id: model.RequestId) -> None:
        """Notes the first token of a request."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.first_token(request_id, now_ms))

    def tokens(self, request_id: model.RequestId, count: int) -> None:
        """Notes further tokens of a request."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.tokens(request_id, count, now_ms))

    def usage_report(self) -> admission.UsageReport:
        """Returns what the other entries need to know."""
        return self._policy.usage_report(self._clock.now_ms())

    def observe_usage(self, report: admission.UsageReport) -> None:
        """Takes another entry's report."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.observe_usage(report, now_ms))

    def tick(self) -> None:
        """Lets admission decide what time alone changes."""
        self.apply_effects(self._policy.tick(self._clock.now_ms()))

    @mode.Service.task
    async def _tick_regularly(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK_INTERVAL_S)

    def apply_effects(self, effects: Sequence[admission.Effect]) -> None:
        """Hands each effect to its request."""
        for effect in effects:
            ticket = self._tickets.get(effect.request_id)
            if ticket is not None:
                _apply(effect, ticket)


@functools.singledispatch
def _apply(effect: admission.Effect, ticket: RequestHandle) -> None:
    raise TypeError(f"no rule applies {type(effect).__name__}")


@_apply.register
def _(effect: admission.Start, ticket: RequestHandle) -> None:
    ticket.start(effect.priority)


@_apply.register
def _(effect: admission.Refuse, ticket: RequestHandle) -> None:
    ticket.refuse(effect.refusal)


@_apply.register
def _(effect: admission.Suspend, ticket: RequestHandle) -> None:
    ticket.suspend()


def _new_future() -> asyncio.Future[int]:
    return asyncio.get_running_loop().create_future()
