import asyncio
import pathlib

import pytest
import typer

from lagooncrank.server import _main
from lagooncrank.server.tests import harness as harnesses


async def test_node_stops_on_request(harness: harnesses.DaemonHarness) -> None:
    stopping = asyncio.Event()
    task = asyncio.create_task(
        _main.run_until_stopped(harness.daemon, stopping)
    )
    stopping.set()
    harness.daemon.planned_stop.skip_notice_period()
    assert await task is _main.ExitStatus.STOPPED


async def test_failed_service_stops_the_node(
    harness: harnesses.DaemonHarness,
) -> None:
    stopping = asyncio.Event()
    task = asyncio.create_task(
        _main.run_until_stopped(harness.daemon, stopping)
    )
    await asyncio.sleep(0)
    await harness.daemon.admission_service.crash(RuntimeError("broken"))
    assert await task is _main.ExitStatus.CRASHED


def test_exit_status_of_invalid_settings(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "n1.yaml"
    path.write_text("node_id: [")
    with pytest.raises(typer.Exit) as exit_info:
        _main.run(path)
    assert exit_info.value.exit_code == _main.ExitStatus.SETTINGS
    assert str(path) in capsys.readouterr().err
