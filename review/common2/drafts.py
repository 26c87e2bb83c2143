"""Requests for drafts, those that crash runners, and what became of them."""

import asyncio
from collections.abc import Callable

from review.common2 import client as clients
from review.common2 import engine as engines
from review.common2 import nodes
from review.common2 import record as records
from review.common2 import server as servers
from review.common2 import wire

LIMIT_MS = 6_000
#: Runners of one fabric domain.
DOMAIN_SIZE = 8
SOUND_PAUSE_S = 0.5
#: First part of all prompts.
SHARED_PART = "aa01:40"
#: SYSTEM.md: `stability_window_ms` 3,000.
STABILITY_WINDOW_S = 3.0
SERVICE_TIMEOUT_S = 25.0
#: Undisturbed time before the trouble, longer than the stability window.
CALM_S = 5.0


class History:
    """When deadly requests reached runners, and when runners crashed."""

    def __init__(
        self, record: records.Record, is_deadly: Callable[[wire.Message], bool]
    ) -> None:
        self._record = record
        self._is_deadly = is_deadly
        self.arrivals_s: list[float] = []
        self.crashes_s: list[float] = []

    def on_arrival(self, request: wire.Message) -> None:
        """Records that a request has reached a runner."""
        if self._is_deadly(request):
            self.arrivals_s.append(self._record.now_s())

    def on_crash(self) -> None:
        """Records that a runner has crashed."""
        self.crashes_s.append(self._record.now_s())

    def arrivals_after(self, crashes: int) -> int | None:
        """Returns the arrivals later than the window after some crash.

        Args:
            crashes: Number of the crash, from 1.

        Returns:
            None if there were fewer crashes.
        """
        if len(self.crashes_s) < crashes:
            return None
        from_s = self.crashes_s[crashes - 1] + STABILITY_WINDOW_S
        return sum(arrived_s > from_s for arrived_s in self.arrivals_s)


class Fleet:
    """A deployment with model runners in groups of two."""

    def __init__(
        self,
        record: records.Record,
        engine_count: int,
        is_deadly: Callable[[wire.Message], bool],
        *,
        has_trouble: bool,
        crashes_after_head: bool,
        is_resumable: bool,
    ) -> None:
        self._is_resumable = is_resumable
        self.deployment = nodes.Deployment(controls=3, entries=2)
        self.history = History(record, is_deadly)
        self._record = record
        self._runners = [
            engines.Engine(
                self.deployment,
                record,
                f"d{number // DOMAIN_SIZE}",
                is_deadly if has_trouble else lambda _request: False,
                crashes_after_head=crashes_after_head,
                on_arrival=self.history.on_arrival,
                on_crash=self.history.on_crash,
            )
            for number in range(engine_count)
        ]
        self._desk = servers.PlainServer(
            self.deployment, record, "i-desk0", "desk"
        )

    async def start(self) -> bool:
        """Starts everything; returns whether a draft is served in time."""
        await self._desk.start()
        for runner in self._runners:
            await runner.start()
        await self.deployment.start(
            clients.with_drafts(
                clients.document(1), is_resumable=self._is_resumable
            )
        )
        caller = clients.Client(self.deployment.entries[0], self._record)

        async def serves() -> bool:
            prompt = f"{SHARED_PART},b0:600"
            return (await draft(caller, prompt, b"first")).status == 200

        is_serving = await servers.wait_until(serves, SERVICE_TIMEOUT_S)
        caller.close()
        await asyncio.sleep(CALM_S)
        return is_serving

    async def stop(self) -> None:
        """Stops everything that it started."""
        for runner in self._runners:
            await runner.stop()
        await self._desk.stop()
        self.deployment.stop()


async def draft(
    caller: clients.Client, prompt: str, body: bytes
) -> clients.Outcome:
    """Sends a request for a draft."""
    return await caller.send(
        "POST",
        "/draft/a",
        LIMIT_MS,
        body,
        Model=engines.MODEL,
        Token_Usage="340,40",
        Prompt_Prefix=prompt,
    )


async def send_sound(
    caller: clients.Client, outcomes: list[clients.Outcome]
) -> None:
    """Sends sound requests one after the other, until cancelled."""
    number = 0
    while True:
        number += 1
        prompt = f"{SHARED_PART},{0xB000 + number:x}:600"
        body = f"sound {number}".encode()
        outcomes.append(await draft(caller, prompt, body))
        await asyncio.sleep(SOUND_PAUSE_S)
