"""Many responses without end at once, in a process of its own."""

import asyncio
import json
import sys
from typing import Final

import pytest

from lagooncrank.server.seeded.tests import endless_reader
from lagooncrank.server.tests import endless_server
from lagooncrank.server.tests import raw_server

#: Responses at once. Chunks cost the processor most, and need most memory.
RESPONSES: Final = {
    "length_too_large": 600,
    "no_length": 600,
    "chunks": 300,
    "single_byte_chunks": 30,
}
SOUND: Final = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)


# Guards against a process that ends because many responses without end need
# more memory than it has, together with the requests of all other callers.
@pytest.mark.parametrize("sort", RESPONSES)
async def test_many_endless_responses_fit_into_the_memory(sort: str) -> None:
    sound = raw_server.RawServer([SOUND], None)
    content = endless_server.BODIES[sort]
    async with (
        endless_server.running(content) as endless,
        sound.running() as sound_address,
    ):
        reader = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            endless_reader.__name__,
            endless.address,
            sound_address,
            str(RESPONSES[sort]),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await reader.communicate()
    outcome = json.loads(output)
    assert outcome["served"] == endless_reader.SOUND_REQUESTS
    assert outcome["peak_mb"] < endless_reader.ENTRY_MB
