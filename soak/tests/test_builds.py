"""Earlier builds are exported and run with the settings that they know."""

import pathlib
from typing import Final

import pytest

from soak import _builds

#: The last commit without ports between entries.
EARLIER: Final = "0d0a3c1"


async def test_exported_build_runs_its_own_code(tmp_path: pathlib.Path) -> None:
    build = await _builds.export(EARLIER, tmp_path)
    assert build.program.is_relative_to(tmp_path)
    assert build.program.exists()


# Guards against: an upgrade that cannot be played counts as passed.
async def test_missing_history_is_an_error(tmp_path: pathlib.Path) -> None:
    with pytest.raises(_builds.ExportError, match="unshallow"):
        await _builds.export("0" * 40, tmp_path)


async def test_settings_leave_out_what_a_build_does_not_know(
    tmp_path: pathlib.Path,
) -> None:
    earlier = await _builds.export(EARLIER, tmp_path)
    content = {"role": "entry", "delegation_port": 1}
    assert earlier.settings(content) == {"role": "entry"}
    assert not earlier.plans_stops
    assert _builds.Build.current().plans_stops
    assert _builds.Build.current().settings(content) == content
