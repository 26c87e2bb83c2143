import asyncio
import pathlib

import pytest
import typer

from lagooncrank.server import _main
from lagooncrank.server.tests import site as sites


async def test_node_stops_when_told(site: sites.Site) -> None:
    stopping = asyncio.Event()
    ended = asyncio.create_task(_main.run_until(site.daemon, stopping))
    stopping.set()
    site.daemon.planned_stop.hurry()
    assert await ended is _main.ExitStatus.STOPPED


async def test_node_does_not_outlive_a_failed_part(site: sites.Site) -> None:
    stopping = asyncio.Event()
    ended = asyncio.create_task(_main.run_until(site.daemon, stopping))
    await asyncio.sleep(0)
    await site.daemon.admission_service.crash(RuntimeError("broken"))
    assert await ended is _main.ExitStatus.CRASHED


def test_unusable_settings(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "n1.yaml"
    path.write_text("node_id: [")
    with pytest.raises(typer.Exit) as ended:
        _main.run(path)
    assert ended.value.exit_code == _main.ExitStatus.SETTINGS
    assert str(path) in capsys.readouterr().err
