"""Carries out admission decisions for the requests of one entry."""

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
    """Handle of a request that was offered to admission.

    Its owner waits on it for the start of the request, and is notified when
    admission suspends the request.
    """

    def __init__(self) -> None:
        self._started: asyncio.Future[int] = _new_future()
        #: Called when the request is suspended and must free its capacity.
        self.on_suspend: Callable[[], None] | None = None

    async def wait_for_start(self) -> int:
        """Waits until admission starts the request.

        Returns:
            The request's priority at the engine.

        Raises:
            LagooncrankError: Admission refused the request.
        """
        return await self._started

    def start(self, priority: int) -> None:
        """Starts or resumes the request."""
        if not self._started.done():
            self._started.set_result(priority)

    def refuse(self, refusal: results.Refusal) -> None:
        """Ends the request's wait with a refusal."""
        if not self._started.done():
            self._started.set_exception(results.LagooncrankError(refusal))
            self._started.exception()

    def suspend(self) -> None:
        """Suspends the request until its next start."""
        self._started = _new_future()
        if self.on_suspend is not None:
            self.on_suspend()


class AdmissionService(mode.Service):
    """Passes events to the admission policy and applies its effects."""

    def __init__(
        self, policy: admission.AdmissionPolicy, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._policy = policy
        self._clock = clock
        self._handles: dict[model.RequestId, RequestHandle] = {}
        self._capacities: dict[model.ServiceName, admission.Capacity] = {}

    def configure(self, declarations: model.Declarations) -> None:
        """Applies new declarations."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.configure(declarations, now_ms))

    def set_capacity(self, capacity: admission.Capacity) -> None:
        """Updates the capacity of one service, if it changed."""
        if self._capacities.get(capacity.service) == capacity:
            return
        self._capacities[capacity.service] = capacity
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.set_capacity(capacity, now_ms))

    @contextlib.contextmanager
    def offered(self, offer: admission.Offer) -> Iterator[RequestHandle]:
        """Offers a request to admission, and ends it on leaving the context."""
        handle = RequestHandle()
        self._handles[offer.request_id] = handle
        self.apply_effects(self._policy.offer(offer, self._clock.now_ms()))
        try:
            yield handle
        finally:
            del self._handles[offer.request_id]
            now_ms = self._clock.now_ms()
            self.apply_effects(self._policy.ended(offer.request_id, now_ms))

    def first_token(self, request_id: model.RequestId) -> None:
        """Records the first token of a request."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.first_token(request_id, now_ms))

    def tokens(self, request_id: model.RequestId, count: int) -> None:
        """Records `count` more tokens of a request."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.tokens(request_id, count, now_ms))

    def usage_report(self) -> admission.UsageReport:
        """Returns the usage report for the other entries."""
        return self._policy.usage_report(self._clock.now_ms())

    def observe_usage(self, report: admission.UsageReport) -> None:
        """Stores another entry's usage report."""
        now_ms = self._clock.now_ms()
        self.apply_effects(self._policy.observe_usage(report, now_ms))

    def tick(self) -> None:
        """Applies changes that depend only on time."""
        self.apply_effects(self._policy.tick(self._clock.now_ms()))

    @mode.Service.task
    async def _tick_regularly(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK_INTERVAL_S)

    def apply_effects(self, effects: Sequence[admission.Effect]) -> None:
        """Applies each effect to its request, unless the request ended."""
        for effect in effects:
            handle = self._handles.get(effect.request_id)
            if handle is not None:
                _apply_effect(effect, handle)


@functools.singledispatch
def _apply_effect(effect: admission.Effect, handle: RequestHandle) -> None:
    raise TypeError(f"unsupported admission effect {type(effect).__name__}")


@_apply_effect.register
def _(effect: admission.Start, handle: RequestHandle) -> None:
    handle.start(effect.priority)


@_apply_effect.register
def _(effect: admission.Refuse, handle: RequestHandle) -> None:
    handle.refuse(effect.refusal)


@_apply_effect.register
def _(effect: admission.Suspend, handle: RequestHandle) -> None:
    handle.suspend()


def _new_future() -> asyncio.Future[int]:
    return asyncio.get_running_loop().create_future()
