"""A seeded entry: takes requests of callers."""

import asyncio
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import settings
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _answering
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _entry_metrics
from lagooncrank.server.seeded import _forwarding
from lagooncrank.server.seeded import _front
from lagooncrank.server.seeded import _node
from lagooncrank.server.seeded import _targets
from lagooncrank.server.seeded import _wire

#: Time for which callers may keep a list of addresses.
ADDRESS_TTL_MS: Final = 2_000
#: Some callers keep a list this many times as long.
KEPT_FACTOR: Final = 3
#: Part of the grace after which what is still in flight is cut off.
STOP_BY: Final = 0.93
POLL_S: Final = 0.1


class EntryNode(_node.Node):
    """One entry and its HTTP server for callers."""

    def __init__(
        self,
        own: settings.SeededSettings,
        calls: _wire.HttpCodec,
        documents: _wire.DocumentCodec,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(own, documents, clock)
        self.metrics = _entry_metrics.EntryMetrics()
        self._client = _attempt.BackendClient(calls)
        targets = _targets.Targets(
            own.failure_domain_id,
            self.shared,
            self.view,
            self.documents,
            clock,
        )
        allowance = dispatch.SharedRetryBudget(own.retry)
        forwarder = _forwarding.Forwarder(
            targets,
            self.view,
            self._client,
            allowance,
            self.metrics,
            clock,
            self.decisions,
        )
        answering = _answering.Answering(
            forwarder, self.metrics, clock, self.decisions
        )
        self._front = _front.Front(
            own,
            calls,
            self.documents,
            self.view,
            targets,
            allowance,
            answering,
            self.metrics,
            clock,
            self.decisions,
        )
        self._is_leaving = False

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.documents.catalog is not None and not self._is_leaving

    async def on_start(self) -> None:
        """Starts the parts and listens for callers."""
        await super().on_start()
        await self._client.start()
        await self._front.start()
        self.add_future(self._watch_readiness())

    async def on_stop(self) -> None:
        """Closes the callers' and the servers' connections."""
        await self._front.stop()
        await self._client.stop()

    async def leave(self) -> None:
        """Leaves the directory, serves those who kept the address, ends."""
        grace_ms = self.settings.timing.stop_grace_ms
        started_ms = self.clock.now_ms()
        self._is_leaving = True
        self.view.is_open = False
        self.view.notify_others()
        self._front.is_closing = True
        self.decisions.write(decisions.Event.STOPPING, grace_ms=grace_ms)
        kept_ms = KEPT_FACTOR * ADDRESS_TTL_MS
        last_ms = int(grace_ms * STOP_BY)
        await asyncio.sleep(min(kept_ms, last_ms) / clocks.MS_PER_S)
        left_ms = started_ms + last_ms - self.clock.now_ms()
        await self._front.drain(max(left_ms, 0) / clocks.MS_PER_S)

    async def _watch_readiness(self) -> None:
        while not self.should_stop:
            is_open = self.is_ready
            if is_open is not self.view.is_open:
                self.view.is_open = is_open
                self.view.notify_others()
            await self.sleep(POLL_S)
