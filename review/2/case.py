"""Sends pings of another writer, whose address is no network address."""

import asyncio
import contextlib
import hashlib
import itertools
from typing import Any
from typing import Final

import aiohttp

from review.common import case
from review.common import deployment
from review.common import ends
from review.common import stand_ins

MODEL: Final = "m-drafts"
WATCH_S: Final = 30.0
#: The other writer keeps its state under the digest of its name.
FOREIGN_ADDRESS: Final = hashlib.sha256(b"another writer").hexdigest()


def _foreign_ping(sequence: int) -> dict[str, Any]:
    """Returns a ping that lacks fields and has one of another type."""
    return {
        "service": "writers",
        "address": FOREIGN_ADDRESS,
        "zone": "a",
        "state": "ready",
        "sequence": sequence,
        "born": 1_700_000_000_000,
    }


async def _send_foreign_pings(play: case.Play) -> None:
    addresses = itertools.cycle(play.system.operator_addresses)
    for sequence in itertools.count(1):
        address = next(addresses)
        url = f"http://{address}/-/instances/w-foreign/heartbeat"
        status: int | str = "no response"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(stand_ins.CALL_TIMEOUT_S):
                async with play.session.post(
                    url, json=_foreign_ping(sequence)
                ) as response:
                    status = response.status
        play.record.write(f"foreign ping {sequence} at {address}: {status}")
        await asyncio.sleep(stand_ins.HEARTBEAT_S)


async def play_case(play: case.Play) -> int:
    """Watches the processes while the other writer sends its pings."""
    await play.system.start()
    await play.add_engines(4)
    service = stand_ins.engine_service([stand_ins.model(MODEL)])
    content = stand_ins.document(3, [stand_ins.engine_route()], [service])
    if await play.operator.put(content) != 200:
        return case.COULD_NOT_RUN
    if not await play.wait_for_heads(2):
        return case.COULD_NOT_RUN
    await asyncio.sleep(1)
    answer = await play.caller.draft(play.system.entries[0], MODEL)
    play.record.write(f"stream: {answer.status}")
    if answer.status != 200:
        return case.COULD_NOT_RUN
    writer = None
    if deployment.is_troubled():
        writer = asyncio.create_task(_send_foreign_pings(play))
    await asyncio.sleep(WATCH_S)
    if writer is not None:
        writer.cancel()
    answer = await play.caller.draft(play.system.entries[0], MODEL)
    play.record.write(f"stream: {answer.status}")
    if ends.is_rule_broken(play.system):
        return case.BROKEN
    return case.HELD


if __name__ == "__main__":
    case.run(__file__, play_case)
