"""Case 6: an entry that is stopped cuts a booking that it has just accepted.

Short bookings run before the stop. After SIGTERM one client sends a longer one
on a connection that it has kept; it is accepted, runs, and gets no answer.
"""

import asyncio
import pathlib
import signal
import sys

from review.common2 import client as clients
from review.common2 import main
from review.common2 import nodes
from review.common2 import record as records
from review.common2 import server as servers
from review.common2 import wire

FOLDER = pathlib.Path(__file__).parent
#: Time limit of the clients, and timeout of the route.
LIMIT_MS = 8_000
#: Work of a usual booking, and of the longer kind.
SHORT_S = 0.05
LONG_S = 4.6
#: Short bookings before the stop, and the pause between two.
SHORT_COUNT = 60
PAUSE_S = 0.05
LONG_COUNT = 4
#: From SIGTERM until the longer bookings are sent. RULES.md, LOST: what was
#: sent up to 3 s after it may be cut in the last sixth of `grace_s`.
EXCUSED_S = 3.0
SEND_AFTER_S = 3.3
#: Until 1 s after `grace_s` the stop is planned work.
PLANNED_S = nodes.GRACE_MS / 1_000 + 1.0


def work_s(request: wire.Message) -> float:
    """Returns how long a request runs."""
    return LONG_S if request.target.endswith("/long") else SHORT_S


async def run(record: records.Record, *, has_trouble: bool) -> int:
    """Runs the case; returns the exit status."""
    deployment = nodes.Deployment(controls=3, entries=2)
    desks = [
        servers.PlainServer(deployment, record, f"i-desk{n}", "desk", work_s)
        for n in range(3)
    ]
    try:
        for desk in desks:
            await desk.start()
        await deployment.start(clients.document(1))
        return await _run(deployment, desks, record, has_trouble=has_trouble)
    finally:
        for desk in desks:
            await desk.stop()
        deployment.stop()


async def _run(
    deployment: nodes.Deployment,
    desks: list[servers.PlainServer],
    record: records.Record,
    *,
    has_trouble: bool,
) -> int:
    entry = deployment.entries[0]
    callers = [clients.Client(entry, record) for _ in range(LONG_COUNT)]

    async def serves() -> bool:
        outcome = await callers[0].send("POST", "/book/a", LIMIT_MS)
        return outcome.status == 200

    if not await servers.wait_until(serves, 20.0):
        record.write("the case could not run: no service")
        return 2
    for number in range(SHORT_COUNT):
        caller = callers[number % LONG_COUNT]
        await caller.send("POST", "/book/a", LIMIT_MS, b"short")
        await asyncio.sleep(PAUSE_S)
    # Undisturbed for longer than stability_window_ms.
    await asyncio.sleep(3.5)
    stopped_s = record.now_s()
    if has_trouble:
        record.write(f"SIGTERM to {entry.ip}")
        entry.send_signal(signal.SIGTERM)
    await asyncio.sleep(SEND_AFTER_S)
    outcomes = await asyncio.gather(
        *(c.send("POST", "/book/long", LIMIT_MS, b"long") for c in callers)
    )
    # The runs may last longer than their connections.
    await asyncio.sleep(2.0)
    ran = {attempt_id for desk in desks for attempt_id in desk.runs}
    lost = [o for o in outcomes if _is_lost(o, ran, stopped_s)]
    refused = [o for o in outcomes if o.status in (429, 503)]
    served = [o for o in outcomes if o.status == 200]
    record.write(
        f"{len(served)} answered, {len(refused)} refused as not run, "
        f"{len(lost)} lost"
    )
    for outcome in lost:
        record.write(
            f"LOST: {outcome.attempt_id} sent "
            f"{outcome.sent_s - stopped_s:.2f} s after SIGTERM, passed on to a "
            "sound server, ended "
            f"{outcome.ended_s - stopped_s:.2f} s after it without an answer"
        )
    if not has_trouble and len(served) < LONG_COUNT:
        return 2
    return 1 if lost else 0


def _is_lost(outcome: clients.Outcome, ran: set[str], stopped_s: float) -> bool:
    """Returns whether a request counts as lost by the rule and its excuses."""
    was_passed_on = outcome.attempt_id in ran
    has_time_left = outcome.ended_s - outcome.sent_s < LIMIT_MS / 1_000 - 0.5
    is_excused = outcome.sent_s - stopped_s <= EXCUSED_S
    is_planned = outcome.ended_s - stopped_s <= PLANNED_S
    return (
        outcome.status is None
        and was_passed_on
        and has_time_left
        and is_planned
        and not is_excused
    )


if __name__ == "__main__":
    sys.exit(main.main(FOLDER, run))
