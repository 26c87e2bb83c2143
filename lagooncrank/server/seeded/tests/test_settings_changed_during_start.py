"""Settings that change while a process starts."""

import asyncio
import pathlib
import types
from typing import Any
from typing import cast

import pytest

from lagooncrank.server.seeded import _runner

STARTED_WITH = "old"


class FakeNode:
    """Records which settings it is told to apply."""

    def __init__(self) -> None:
        self.settings = STARTED_WITH
        self.applied: list[str] = []
        self.has_applied = asyncio.Event()
        self.decision_log = types.SimpleNamespace(write=lambda *_, **__: None)

    def reload(self, node_settings: str) -> None:
        self.applied.append(node_settings)
        self.has_applied.set()


# Guards against: settings that were changed between the first reading of the
# file and the first check for changes were not applied until the next change.
@pytest.mark.parametrize(
    ("content", "applied"), [(STARTED_WITH, []), ("new", ["new"])]
)
async def test_settings_changed_during_the_start_are_applied(
    tmp_path: pathlib.Path, content: str, applied: list[str]
) -> None:
    file = tmp_path / "settings"
    file.write_text(content)
    node = FakeNode()
    requested = asyncio.Event()
    watcher = asyncio.create_task(
        _runner._reload_on_change(
            cast(Any, node),
            file,
            cast(Any, lambda path: path.read_text()),
            requested,
        )
    )
    await asyncio.sleep(0)
    assert node.applied == applied
    # A signal is always obeyed.
    node.has_applied.clear()
    requested.set()
    await node.has_applied.wait()
    assert node.applied == [*applied, content]
    watcher.cancel()


# Guards against: an error while changed settings were applied ended the task
# that watches the file, so that no later change was followed.
async def test_settings_that_cannot_be_applied_do_not_end_the_watch(
    tmp_path: pathlib.Path,
) -> None:
    file = tmp_path / "settings"
    file.write_text(STARTED_WITH)
    node = FakeNode()
    requested = asyncio.Event()
    has_failed = asyncio.Event()

    def load(path: pathlib.Path) -> str:
        if not has_failed.is_set():
            has_failed.set()
            raise RecursionError
        return path.read_text()

    watcher = asyncio.create_task(
        _runner._reload_on_change(
            cast(Any, node), file, cast(Any, load), requested
        )
    )
    await has_failed.wait()
    requested.set()
    applied = asyncio.create_task(node.has_applied.wait())
    await asyncio.wait({watcher, applied}, return_when="FIRST_COMPLETED")
    assert not watcher.done()
    assert node.applied == [STARTED_WITH]
    watcher.cancel()
