"""A soak that is ended early stops all processes that it started."""

import asyncio
import contextlib
import functools
import os
import pathlib
import signal
import sys
from typing import Final

import pytest

from soak import _nodes
from soak import _run

KINDS: Final = ("kill", "restart")
#: Long enough to be ended before.
DURATION_S: Final = 60.0
TIMEOUT_S: Final = 30.0


def processes_of(folder: pathlib.Path) -> list[int]:
    """Returns the processes whose settings are in a folder."""
    found = []
    for process in pathlib.Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            if str(folder).encode() in (process / "environ").read_bytes():
                found.append(int(process.name))
    return found


async def wait_for_processes(folder: pathlib.Path, count: int) -> None:
    while len(processes_of(folder)) < count:  # noqa: ASYNC110 - no event of a start
        await asyncio.sleep(0)


# Guards against: nodes of a soak that was ended by signals, or as it was just
# starting or stopping them, run on for good.
@pytest.mark.parametrize("started", [1, 5])
@pytest.mark.parametrize("signals", [1, 3])
async def test_seed_that_is_cancelled_leaves_no_process(
    started: int, signals: int, tmp_path: pathlib.Path
) -> None:
    config = _run.SeedConfig(1, DURATION_S, kinds=KINDS)
    task = asyncio.create_task(_run.run_seed(config, tmp_path))
    await wait_for_processes(tmp_path, started)
    for _ in range(signals):
        task.cancel()
        await asyncio.sleep(0.01)
    with pytest.raises(asyncio.CancelledError):
        await task
    assert not processes_of(tmp_path)


# Guards against: nodes run on without a parent after their soak was ended in a
# way that it cannot notice.
async def test_soak_that_is_killed_leaves_no_process(
    tmp_path: pathlib.Path,
) -> None:
    arguments = ["--duration-s", str(DURATION_S), "--kinds", "kill"]
    soak = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "soak",
        *arguments,
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "TMPDIR": str(tmp_path),
        },
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    nodes = tmp_path / "soak-"
    try:
        await wait_for_processes(nodes, 3)
    finally:
        soak.send_signal(signal.SIGKILL)
        await soak.wait()
    async with asyncio.timeout(TIMEOUT_S):
        while processes_of(nodes):  # noqa: ASYNC110 - processes of nobody
            await asyncio.sleep(0.05)


# Guards against: a node that was forked just as its soak was killed ran on for
# good, as the kernel tells nothing of a parent that has ended before.
async def test_node_whose_soak_has_ended_before_it_starts_does_not_run() -> (
    None
):
    ended = await asyncio.create_subprocess_exec(sys.executable, "-c", "")
    await ended.wait()
    node = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        f"import time; time.sleep({DURATION_S})",
        preexec_fn=functools.partial(_nodes._end_with_parent, ended.pid),
    )
    async with asyncio.timeout(TIMEOUT_S):
        assert await node.wait() == -signal.SIGKILL
