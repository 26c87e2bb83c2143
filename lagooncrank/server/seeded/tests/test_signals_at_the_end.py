"""Signals that reach a node at the end of its stop."""

import signal
import subprocess
import sys

import pytest

TIMEOUT_S = 30.0
#: Runs a node without components, and gets a signal once it has stopped.
PROGRAM = """
import asyncio
import pathlib
import signal
import sys
import types

from lagooncrank.server.seeded import _runner


class Node:
    crashed = False
    settings = None
    decision_log = types.SimpleNamespace(write=lambda *_, **__: None)

    async def start(self):
        asyncio.get_running_loop().call_later(
            0.05, signal.raise_signal, signal.SIGTERM
        )

    async def wait(self, waiter):
        await waiter

    async def prepare_stop(self):
        pass

    async def stop(self):
        pass


path = pathlib.Path("settings.json")
asyncio.run(_runner.run_node(Node(), [], path, lambda _: None))
signal.raise_signal(int(sys.argv[1]))
print("ended")
"""


# Guards against: an entry that had stopped in good order was ended by a signal
# to reload its settings, or to stop, before its process was gone.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_does_not_end_a_process_that_has_stopped(
    number: signal.Signals,
) -> None:
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(int(number))],
        capture_output=True,
        check=False,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert (ended.returncode, ended.stdout) == (0, "ended\n"), ended.stderr
