"""Starting and stopping of a soak test's node processes."""

import asyncio
import pathlib

from lagooncrank_platform.tests import local_cluster
import pytest

from soak import _checks
from soak import _disturbances
from soak import _nodes


def checks() -> _checks.Checks:
    disturbances = _disturbances.Disturbances([])
    bounds = _checks.Bounds.usual()
    return _checks.Checks(disturbances, bounds, lambda: 0.0)


async def test_concurrent_starts_of_a_node_start_one_process(
    tmp_path: pathlib.Path,
) -> None:
    peer_port, delegation_port = local_cluster.free_ports(2)
    shared = _nodes.SharedSettings(
        tmp_path, peer_port, delegation_port, ("127.0.9.5:1",), checks()
    )
    node = _nodes.Node(shared, "127.0.9.5", "control")
    started: list[object] = []

    async def start_process() -> None:
        await asyncio.sleep(0)
        started.append(node)
        node._process = await asyncio.create_subprocess_exec("sleep", "60")

    node._start = start_process  # type: ignore[method-assign]
    await asyncio.gather(node.start(), node.start())
    assert len(started) == 1
    await node.stop()
    assert not node.is_running


async def test_process_that_exits_during_its_start_is_reported(
    tmp_path: pathlib.Path,
) -> None:
    peer_port, delegation_port = local_cluster.free_ports(2)
    shared = _nodes.SharedSettings(
        tmp_path, peer_port, delegation_port, ("127.0.9.6:1",), checks()
    )
    node = _nodes.Node(shared, "127.0.9.6", "no-such-role")
    try:
        with pytest.raises(_nodes.StartError, match="role"):
            await node.start()
    finally:
        await node.stop()
