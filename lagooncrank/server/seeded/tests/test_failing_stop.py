"""An error in the preparation of a planned stop."""

import asyncio
import pathlib
import types
from typing import Any
from typing import cast

from lagooncrank.server.seeded import _runner


class FailingNode:
    """A node whose preparation of a stop fails."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.stopped = False
        self.crashed = False
        self.settings = ""
        self.decision_log = types.SimpleNamespace(
            write=lambda event, **_: self.events.append(event.value)
        )

    async def start(self) -> None:
        """Starts at once."""

    async def wait(self, stop_requested: Any) -> None:
        """Gets a signal to stop at once."""
        stop_requested.close()

    async def prepare_stop(self) -> None:
        """Fails."""
        raise OverflowError

    async def stop(self) -> None:
        """Stops."""
        self.stopped = True


# Guards against: an error while requests drained ended the stop there: nothing
# was closed or logged after it.
async def test_node_whose_preparation_fails_is_stopped_all_the_same(
    tmp_path: pathlib.Path,
) -> None:
    node = FailingNode()
    async with asyncio.timeout(5.0):
        await _runner.run_node(
            cast(Any, node), [], tmp_path / "none", cast(Any, lambda _: "")
        )
    assert node.stopped
    assert node.events == ["step_failed", "stopped"]
