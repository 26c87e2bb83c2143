"""Case 10: a runner that asks for rest just after its restart gets none.

The runner crashes and starts again under its id and address; its first ping is
late. Until that ping it turns away what comes, and asks for a rest.
"""

import asyncio
import pathlib
import sys

from review.common2 import client as clients
from review.common2 import main
from review.common2 import nodes
from review.common2 import record as records
from review.common2 import server as servers

FOLDER = pathlib.Path(__file__).parent
LIMIT_MS = 1_500
CALLERS = 4
PAUSE_S = 0.05
CALM_S = 5.0
#: The crash, and how late the first ping of the new process arrives.
DOWN_S = 1.0
PING_LATE_S = 2.0
#: The rest that the runner asks for, and for how long it turns away what comes.
REST_S = 8.0
TURNS_AWAY_S = 1.5
#: shared/NEWS.md, BUDGET: more than two, half a second after the answer.
MARGIN_S = 0.5
ALLOWED = 2


class RestingServer(servers.PlainServer):
    """A server that asks each machine for a rest after its start."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.turns_away_until_s = 0.0
        #: When each machine was first asked for a rest, by address.
        self.asked_s: dict[str, float] = {}
        #: When requests of each machine arrived.
        self.arrivals_s: dict[str, list[float]] = {}

    def rest_for(self, writer: asyncio.StreamWriter) -> float | None:
        """Returns the rest to ask a caller for; None to run its request."""
        now_s = self._record.now_s()
        machine = str(writer.get_extra_info("peername")[0])
        self.arrivals_s.setdefault(machine, []).append(now_s)
        if now_s >= self.turns_away_until_s:
            return None
        self._record.write(f"{self.server_id} asks {machine} for {REST_S:g} s")
        self.asked_s.setdefault(machine, now_s)
        return REST_S

    def arrivals_in_rest(self, machine: str) -> int:
        """Returns the requests of a machine that came in its rest."""
        asked_s = self.asked_s[machine]
        return sum(
            asked_s + MARGIN_S < arrived_s < asked_s + REST_S
            for arrived_s in self.arrivals_s[machine]
        )


async def call(
    entry: nodes.Node, record: records.Record, outcomes: list[clients.Outcome]
) -> None:
    """Sends look-ups one after the other, until cancelled."""
    caller = clients.Client(entry, record)
    while True:
        outcomes.append(await caller.send("GET", "/look/a", LIMIT_MS))
        await asyncio.sleep(PAUSE_S)


async def run(record: records.Record, *, has_trouble: bool) -> int:
    """Runs the case; returns the exit status."""
    deployment = nodes.Deployment(controls=3, entries=2)
    resting = RestingServer(deployment, record, "i-desk0", "desk")
    others = [
        servers.PlainServer(deployment, record, f"i-desk{n}", "desk")
        for n in (1, 2)
    ]
    outcomes: list[clients.Outcome] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        for server in (resting, *others):
            await server.start()
        await deployment.start(clients.document(1))
        tasks += [
            asyncio.create_task(
                call(deployment.entries[n % 2], record, outcomes)
            )
            for n in range(CALLERS)
        ]
        await asyncio.sleep(CALM_S)
        resting.turns_away_until_s = record.now_s() + TURNS_AWAY_S
        if has_trouble:
            record.write("i-desk0 crashes")
            resting.turns_away_until_s += DOWN_S
            await resting.crash(DOWN_S, PING_LATE_S)
            record.write("i-desk0 is back under its id and address")
        await asyncio.sleep(TURNS_AWAY_S + REST_S)
        return _judge(record, resting, outcomes)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in (resting, *others):
            await server.stop()
        deployment.stop()


def _judge(
    record: records.Record,
    resting: RestingServer,
    outcomes: list[clients.Outcome],
) -> int:
    """Applies the rule to what the runner saw."""
    served = sum(o.status == 200 for o in outcomes)
    record.write(f"{served} of {len(outcomes)} requests were served")
    if not resting.asked_s:
        record.write("the case could not run: nobody was asked for a rest")
        return 2
    is_broken = False
    for machine in resting.asked_s:
        count = resting.arrivals_in_rest(machine)
        record.write(
            f"{count} requests of {machine} from {MARGIN_S:g} s after the "
            f"answer to the end of the {REST_S:g} s, allowed {ALLOWED}"
        )
        is_broken |= count > ALLOWED
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main.main(FOLDER, run))
