"""Deadlines that pass while the process stands still."""

import asyncio
import socket
import time

import pytest

from lagooncrank.server import _deadlines

DURATION_MS = 50
STANDSTILL_S = 0.2


def stand_still() -> None:
    """Holds up the event loop."""
    time.sleep(STANDSTILL_S)


async def receive(end: socket.socket, due_s: float) -> bytes:
    async with _deadlines.deadline(due_s):
        return await asyncio.get_running_loop().sock_recv(end, 10)


# Guards against: an answer that had arrived in time was replaced by an error,
# as the timer of the deadline ran before it was read.
@pytest.mark.parametrize("max_read_s", [0.0, _deadlines.MAX_READ_S])
async def test_what_arrived_in_a_standstill_is_read(
    max_read_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_deadlines, "MAX_READ_S", max_read_s)
    loop = asyncio.get_running_loop()
    near, far = socket.socketpair()
    with near, far:
        near.setblocking(False)
        due_s = loop.time() + DURATION_MS / 1_000
        receiving = asyncio.create_task(receive(near, due_s))
        await asyncio.sleep(0)
        far.send(b"answer")
        stand_still()
        assert await receiving == b"answer"


# Guards against: callers of a busy entry get no answer until long after their
# deadlines, as each pass of its event loop takes long.
async def test_long_passes_hold_up_no_deadline() -> None:
    loop = asyncio.get_running_loop()
    passes = 0

    def work() -> None:
        nonlocal passes
        passes += 1
        time.sleep(_deadlines.MAX_READ_S / 2)
        if passes < 3 * _deadlines.READ_PASSES:
            loop.call_soon(work)

    loop.call_soon(work)
    with pytest.raises(TimeoutError):
        async with _deadlines.after(1):
            await asyncio.Event().wait()
    # One before the deadline, and those of the timeout itself.
    assert passes <= _deadlines.MIN_READ_PASSES + 4


async def test_wait_ends_at_its_deadline() -> None:
    with pytest.raises(TimeoutError):
        async with _deadlines.after(1):
            await asyncio.Event().wait()


# Guards against: a stream goes on for good after its deadline, as each of its
# events is read in time.
async def test_deadline_that_has_passed_leaves_no_time() -> None:
    answered = asyncio.Event()

    async def answer() -> None:
        for _ in range(_deadlines.READ_PASSES // 2):
            await asyncio.sleep(0)
        answered.set()

    answering = asyncio.create_task(answer())
    with pytest.raises(TimeoutError):
        async with _deadlines.after(-1):
            await answered.wait()
    await answering


async def test_block_that_ends_in_time_is_not_cancelled() -> None:
    async with _deadlines.after(DURATION_MS) as limit:
        await asyncio.sleep(0)
    await asyncio.sleep(2 * DURATION_MS / 1_000)
    assert not limit.expired()
