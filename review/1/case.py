"""Retires a model whose groups serve, by a change of the document."""

import asyncio
from typing import Any
from typing import Final

from review.common import case
from review.common import deployment
from review.common import ends
from review.common import stand_ins

OLD: Final = "m-letters"
NEW: Final = "m-drafts"
#: Time for which the deployment is watched after the change.
WATCH_S: Final = 30.0
CALL_INTERVAL_S: Final = 3.0


def _document(version: int, models: list[str], timeout_ms: int) -> Any:
    service = stand_ins.engine_service([stand_ins.model(m) for m in models])
    route = stand_ins.engine_route(timeout_ms=timeout_ms)
    return stand_ins.document(version, [route], [service])


async def play_case(play: case.Play) -> int:
    """Changes the document while groups of both models serve."""
    await play.system.start()
    await play.add_engines(8)
    if await play.operator.put(_document(3, [OLD, NEW], 8_000)) != 200:
        return case.COULD_NOT_RUN
    if not await play.wait_for_heads(4):
        return case.COULD_NOT_RUN
    heads = [(head.server_id, head.model) for head in play.open_heads()]
    play.record.write(f"open heads: {heads}")
    await asyncio.sleep(1)
    for entry in play.system.entries:
        answer = await play.caller.draft(entry, NEW)
        play.record.write(f"stream of {NEW} at {entry.ip}: {answer.status}")
        if answer.status != 200:
            return case.COULD_NOT_RUN
    await asyncio.sleep(2)
    models = [NEW] if deployment.is_troubled() else [OLD, NEW]
    play.record.write(f"change to the models {models}")
    if await play.operator.put(_document(9, models, 7_000)) != 200:
        return case.COULD_NOT_RUN
    end_s = asyncio.get_running_loop().time() + WATCH_S
    while asyncio.get_running_loop().time() < end_s:
        answer = await play.caller.draft(play.system.entries[0], NEW)
        play.record.write(f"stream of {NEW}: {answer.status}")
        await asyncio.sleep(CALL_INTERVAL_S)
    if ends.is_rule_broken(play.system):
        return case.BROKEN
    return case.HELD


if __name__ == "__main__":
    case.run(__file__, play_case)
