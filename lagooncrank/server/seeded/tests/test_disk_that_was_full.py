"""Control nodes whose disk refuses writes for a while."""

import errno
import os
import pathlib
import types
from typing import Any
from typing import cast

import pytest

from lagooncrank.server.seeded import _disk_watch


def refuse(*_: Any) -> int:
    raise OSError(errno.ENOSPC, "No space left on device")


# Guards against: after one write that its disk refused, a control node took no
# part in any commit as long as its process ran. Two such nodes left no quorum.
def test_stopped_voter_is_restarted_once_its_disk_takes_writes(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    shared = types.SimpleNamespace(has_failed_to_write=False)
    watch = _disk_watch.DiskWatch(cast(Any, shared), str(tmp_path))
    watch.check()
    shared.has_failed_to_write = True
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", refuse)
        watch.check()
    with monkeypatch.context() as patch:
        patch.setattr(os, "open", refuse)
        watch.check()
    with pytest.raises(_disk_watch.RestartNeededError):
        watch.check()
    assert not list(tmp_path.iterdir())
