"""Node process of the consensus bench: links, storage, replicated state.

Prints JSON lines: this node's commits, revisions in force, changes of
leadership and, at exit, the traffic sent. Times are read from the machine's
monotonic clock, so that times of several processes can be compared.
"""

import asyncio
import itertools
import json
import pathlib
import signal
import sys
from typing import Any

import prometheus_client

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import settings
from lagooncrank.core import state
from lagooncrank.server import _shared_state
from lagooncrank.server import links

PROPOSE_TIMEOUT_MS = 10_000
START_TIMEOUT_MS = 30_000
#: Modes: reserve calls, apply declarations, or propose nothing. In the first
#: two, each proposal follows as soon as the previous one has its result.
THROUGHPUT = "throughput"
STEADY = "steady"
IDLE = "idle"


class ConsensusNode:
    """One node, which proposes by its mode and prints events as JSON lines."""

    def __init__(self, settings_file: str, mode: str, concurrency: int) -> None:
        path = pathlib.Path(settings_file)
        process = settings.load_process_settings(path)
        self._clock = clocks.SystemClock()
        self._mode = mode
        self._concurrency = concurrency
        self._proposal_numbers = itertools.count(1)
        self._links = links.Links.from_settings(process, self._clock)
        self._node_id = process.node_id
        self._shared = _shared_state.ReplicatedState.from_settings(
            process, self._links, self._clock, self._clock.wall_ms()
        )
        self._shared.on_applied(self._on_applied)

    async def run(self) -> None:
        """Runs until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        async with self._links, self._shared:
            tasks = [asyncio.ensure_future(self._watch_leadership())]
            if self._mode != IDLE:
                tasks += [
                    asyncio.ensure_future(self._propose_repeatedly())
                    for _ in range(self._concurrency)
                ]
            await stopping.wait()
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
        self._print("sent", **_sent_traffic())

    async def _propose_repeatedly(self) -> None:
        await self._shared.confirm_read(START_TIMEOUT_MS)
        while True:
            number = next(self._proposal_numbers)
            started_ms = self._clock.now_ms()
            outcome = await self._shared.propose(
                self._command(number), PROPOSE_TIMEOUT_MS
            )
            now_ms = self._clock.now_ms()
            self._print(
                "commit", code=int(outcome.code), took_ms=now_ms - started_ms
            )

    def _command(self, number: int) -> state.Command:
        if self._mode == THROUGHPUT:
            call = state.CallKey(
                model.ClientAccountId("a"),
                model.ServiceName("s"),
                f"{self._node_id}-{number}",
            )
            owner = state.CallOwner(self._node_id, 1, number)
            return state.ReserveCall(call, bytes(32), owner, 1, 1)
        configuration = self._shared.view.configuration
        return state.ApplyDeclarations(
            f"{self._node_id}-{number}",
            configuration.revision if configuration else 0,
            model.Declarations(),
            "bench",
            0,
        )

    async def _watch_leadership(self) -> None:
        was_leader = False
        while True:
            is_leader = self._shared.is_leader
            if is_leader != was_leader:
                self._print("leads" if is_leader else "leads_no_more")
            was_leader = is_leader
            await asyncio.sleep(0.005)

    def _on_applied(
        self, command: state.Command, outcome: state.Outcome
    ) -> None:
        if isinstance(command, state.ApplyDeclarations) and outcome.ok:
            self._print("in_force", revision=outcome.revision)

    def _print(self, kind: str, **fields: Any) -> None:
        record = {"kind": kind, "at_ms": self._clock.now_ms(), **fields}
        print(json.dumps(record), flush=True)


def _sent_traffic() -> dict[str, Any]:
    """Returns the numbers of messages and bytes sent to peers, by kind."""
    names = {
        "lagooncrank_peer_messages_sent_total": "messages",
        "lagooncrank_peer_bytes_sent_total": "bytes",
    }
    sent: dict[str, Any] = {name: {} for name in names.values()}
    for family in prometheus_client.REGISTRY.collect():
        for sample in family.samples:
            if sample.name in names:
                kind = sample.labels["kind"]
                sent[names[sample.name]][kind] = sample.value
    return sent


if __name__ == "__main__":
    asyncio.run(ConsensusNode(sys.argv[1], sys.argv[2], int(sys.argv[3])).run())
