"""Stops one entry with SIGTERM while callers still use its cached address."""

import asyncio
import json
import signal
from typing import Final

from aiohttp import web

from review.common import case
from review.common import deployment
from review.common import stand_ins

MODEL: Final = "m-drafts"
#: Bounds of the sheets, and what the rule excuses.
GRACE_S: Final = 8.0
EXCUSED_UNTIL_S: Final = 3.0
#: The list counts for `ttl_s`; some callers keep it three times as long.
STALE_FACTOR: Final = 3
#: A stream of the sheet: 27 events on average, 67 at most. At 13 requests at
#: once an event of 5 tokens takes 5 x (6.07 + 13 x 0.482) ms.
EVENTS: Final = 50
EVENT_INTERVAL_S: Final = 0.062
FIRST_CALL_S: Final = 3.5
CALL_INTERVAL_S: Final = 0.25


async def _answer_stream(
    server: stand_ins.BackendServer, request: web.Request
) -> web.StreamResponse:
    response = web.StreamResponse(headers=server.headers(request))
    response.content_type = "text/event-stream"
    await response.prepare(request)
    first = int(request.headers.get("Last-Event-Id", "0")) + 1
    for number in range(first, EVENTS + 1):
        await response.write(f"id: {number}\ndata: x\n\n".encode())
        await asyncio.sleep(EVENT_INTERVAL_S)
    return response


async def _look_up(
    play: case.Play, entry: deployment.Daemon
) -> tuple[list[str], float]:
    url = (
        f"http://{play.system.directory_address(entry)}/-/resolve"
        f"?name={stand_ins.HOST}&region=r&zone=a"
    )
    async with play.session.get(url) as response:
        content = json.loads(await response.read())
    return content["addresses"], float(content["ttl_s"])


async def _stop_like_the_provider(
    play: case.Play, entry: deployment.Daemon
) -> None:
    """Sends SIGTERM, and SIGKILL after the grace time."""
    entry.is_wanted = False
    assert entry.process is not None
    play.system.send_signal(entry, signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await entry.process.wait()
    except TimeoutError:
        play.system.send_signal(entry, signal.SIGKILL)


async def _call(
    play: case.Play, entry: deployment.Daemon, after_s: float
) -> bool:
    """Sends a stream; returns whether it was read and ended incomplete."""
    answer = await play.caller.draft(entry, MODEL)
    last = f"id: {EVENTS}\n".encode()
    is_complete = answer.status == 200 and last in answer.body
    runs = [
        r
        for s in play.servers
        for r in s.runs
        if r.attempt_id == answer.attempt_id
    ]
    play.record.write(
        f"sent {after_s:.2f} s after the SIGTERM: status {answer.status}, "
        f"complete: {is_complete}, took {answer.took_s:.2f} s, "
        f"runs: {len(runs)}"
    )
    return bool(runs) and not is_complete


async def play_case(play: case.Play) -> int:
    """Counts streams that the stopping entry passed on and did not complete."""
    loop = asyncio.get_running_loop()
    await play.system.start()
    await play.add_engines(4)
    for server in play.servers:
        server.answer = lambda r, s=server: _answer_stream(s, r)
    service = stand_ins.engine_service([stand_ins.model(MODEL)])
    content = stand_ins.document(3, [stand_ins.engine_route()], [service])
    if await play.operator.put(content) != 200:
        return case.COULD_NOT_RUN
    if not await play.wait_for_heads(2):
        return case.COULD_NOT_RUN
    entry = play.system.entries[0]
    # In touch: three seconds without any event.
    await asyncio.sleep(4)
    if await _call(play, entry, -1):
        return case.COULD_NOT_RUN
    addresses, ttl_s = await _look_up(play, play.system.entries[1])
    play.record.write(f"look-up: {addresses}, {ttl_s} s")
    if play.system.caller_address(entry) not in addresses:
        return case.COULD_NOT_RUN
    looked_up_s = loop.time()
    stop = None
    if deployment.is_troubled():
        stop = asyncio.create_task(_stop_like_the_provider(play, entry))
    stopped_s = loop.time()
    calls = []
    await asyncio.sleep(FIRST_CALL_S)
    while loop.time() < looked_up_s + STALE_FACTOR * ttl_s:
        after_s = loop.time() - stopped_s
        calls.append(asyncio.create_task(_call(play, entry, after_s)))
        await asyncio.sleep(CALL_INTERVAL_S)
    lost = sum(await asyncio.gather(*calls))
    if stop is not None:
        await stop
    play.record.write(
        f"streams that were sent over {EXCUSED_UNTIL_S} s after the SIGTERM, "
        f"passed on and not completed: {lost} of {len(calls)}"
    )
    return case.BROKEN if lost else case.HELD


if __name__ == "__main__":
    case.run(__file__, play_case)
