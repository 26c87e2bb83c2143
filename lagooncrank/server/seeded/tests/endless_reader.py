"""Process that reads many responses without end at once, and some sound ones.

Arguments: the addresses of a server of endless and of one of sound responses,
and the number of endless ones. Prints a JSON object: `served`, the number of
sound requests that got their response, and `peak_mb`, the most memory used.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _body_reader
from lagooncrank.server.seeded.tests import plain_codec

#: Memory of the smallest entry in `docs/OPERATIONS.md`.
ENTRY_MB: Final = 200
SOUND_REQUESTS: Final = 20
PAUSE_S: Final = 0.05
KB_PER_MB: Final = 1_024
SERVER_ID: Final = model.BackendServerId("s")
REQUEST: Final = _adapter.RequestHead("a1", "GET", "/x", "h.example")


async def read(
    client: _attempt.BackendClient,
    address: str,
    buffers: _buffer_budget.BufferBudget,
) -> bytes:
    """Returns the body of a response."""
    target = dispatch.Target(
        SERVER_ID,
        address,
        model.ServiceName("desk"),
        model.FailureDomainId("a"),
        4,
    )
    metadata = _adapter.ForwardingMetadata(SERVER_ID, 60_000)
    response = await client.open(target, REQUEST, metadata, b"")
    try:
        with buffers.open() as buffer:
            return await _body_reader.read(response, buffer)
    finally:
        response.close()


async def run(endless: str, sound: str, count: int) -> int:
    """Returns how many sound requests were served beside the endless ones."""
    client = _attempt.BackendClient(
        plain_codec.PlainCodec(),
        observed_time.ObservedClock(clocks.SystemClock()),
    )
    await client.start()
    buffers = _buffer_budget.BufferBudget.of_memory(ENTRY_MB)

    async def read_endless() -> None:
        with contextlib.suppress(_attempt.AttemptFailedError):
            await read(client, endless, buffers)

    async def read_sound() -> bool:
        with contextlib.suppress(_attempt.AttemptFailedError):
            return await read(client, sound, buffers) == b"done"
        return False

    # Its connection is kept for the later ones.
    assert await read_sound()
    readers = [asyncio.create_task(read_endless()) for _ in range(count)]
    served = 0
    for _ in range(SOUND_REQUESTS):
        served += await read_sound()
        await asyncio.sleep(PAUSE_S)
    # The first that is ended shows that all that may be buffered is in use.
    await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
    for reader in readers:
        reader.cancel()
    await asyncio.gather(*readers, return_exceptions=True)
    await client.stop()
    return served


def peak_mb() -> float:
    """Returns the most memory that this program has used.

    `ru_maxrss` also counts the process that started it.
    """
    status = pathlib.Path("/proc/self/status").read_text()
    peak_kb = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith("VmHWM:")
    )
    return int(peak_kb) / KB_PER_MB


if __name__ == "__main__":
    served = asyncio.run(run(sys.argv[1], sys.argv[2], int(sys.argv[3])))
    sys.stdout.write(json.dumps({"served": served, "peak_mb": peak_mb()}))
