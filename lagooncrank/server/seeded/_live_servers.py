"""Finds servers that read what they are sent, for repeats of silent requests.

Several servers may fall silent at one moment. One that stands still reads a
repeat only when it goes on, with the time limit that was right before.
So a request that was given up for a silence goes to a server that has sent
something just now; if there is none, some are asked.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Final

from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.core import reach
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _health_probes
from lagooncrank.server.seeded import _step_guard

#: Servers of a service that are asked at the same time.
MAX_PROBES: Final = 2
#: Shortest time between two probes of a server.
PROBE_INTERVAL_MS: Final = 250


class LiveServers:
    """Knows which servers are live, and asks those that may be."""

    def __init__(
        self,
        signs: reach.LifeSigns,
        probes: _health_probes.HealthProbes,
        observed_clock: observed_time.ObservedClock,
        guard: _step_guard.StepGuard,
    ) -> None:
        self._signs = signs
        self._probes = probes
        self._observed_clock = observed_clock
        self._guard = guard
        #: Called when a server that was asked has responded.
        self.listeners: list[Callable[[], None]] = []
        #: Servers that are being asked, by service.
        self._asked: dict[model.ServiceName, set[str]] = {}
        #: Observed time at which each server was last asked.
        self._asked_ms: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def is_live(self, target: dispatch.Target) -> bool:
        """Returns whether a server has sent something just now."""
        observed_ms = self._observed_clock.now_ms()
        return self._signs.is_live(target.server_id, observed_ms)

    def heard_ago_ms(self, target: dispatch.Target) -> int | None:
        """Returns the age of a server's last sign; None if none is known."""
        observed_ms = self._observed_clock.now_ms()
        return self._signs.heard_ago_ms(target.server_id, observed_ms)

    def find(
        self, targets: Sequence[dispatch.Target]
    ) -> Sequence[dispatch.Target]:
        """Returns the live ones of some servers of one service.

        If there are none, some of them are asked.
        """
        live = [target for target in targets if self.is_live(target)]
        if not live:
            self._ask(targets)
        return live

    async def stop(self) -> None:
        """Ends the probes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _ask(self, targets: Sequence[dispatch.Target]) -> None:
        """Asks a few of some servers that were not asked lately."""
        if not targets:
            return
        now_ms = self._observed_clock.now_ms()
        self._asked_ms = {
            server_id: asked_ms
            for server_id, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < PROBE_INTERVAL_MS
        }
        asked = self._asked.setdefault(targets[0].service, set())
        due = [
            t
            for t in targets
            if t.server_id not in asked and t.server_id not in self._asked_ms
        ]
        room = max(MAX_PROBES - len(asked), 0)
        for target in random.sample(due, min(room, len(due))):
            asked.add(target.server_id)
            self._asked_ms[target.server_id] = now_ms
            task = asyncio.create_task(
                self._guard.watch("life probe", self._probe(target))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, target: dispatch.Target) -> None:
        try:
            outcome = await self._probes.probe(
                target.service, target.server_id, target.address
            )
        finally:
            self._asked[target.service].discard(target.server_id)
        if outcome is _attempt.ProbeOutcome.RESPONSE:
            for listener in self.listeners:
                listener()
