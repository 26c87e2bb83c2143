from collections.abc import AsyncIterator
from typing import Any

from aiohttp import test_utils
import pytest
import pytest_asyncio

from lagooncrank import model
from lagooncrank.core import state
from lagooncrank.server.http.tests import operator_node

KEY = {"Authorization": f"Bearer {operator_node.OPERATOR_KEY}"}


@pytest.fixture
def node() -> operator_node.OperatorNode:
    return operator_node.OperatorNode()


@pytest_asyncio.fixture
async def client(
    node: operator_node.OperatorNode,
) -> AsyncIterator[test_utils.TestClient[Any, Any]]:
    server = test_utils.TestServer(node.app())
    async with test_utils.TestClient(server, headers=KEY) as client:
        yield client


def change(
    change_id: str = "c1", base_revision: int = 0, share: int = 3
) -> dict[str, Any]:
    return {
        "change_id": change_id,
        "base_revision": base_revision,
        "author": "ann",
        "declarations": operator_node.declarations(share),
    }


INVALID_CHANGES = {
    "no_json": (b"{", 400, 100, "not a valid ChangeRequest"),
    "deep_json": (b"[" * 100_000, 400, 100, "not a valid ChangeRequest"),
    "wrong_type": (
        change() | {"base_revision": "x"},
        400,
        100,
        "base_revision: must be a whole number, is 'x'",
    ),
    "unknown_field": (
        change() | {"declarations": {"client_acounts": []}},
        400,
        100,
        "did you mean 'client_accounts'?",
    ),
    "empty_change_id": (change(change_id=""), 400, 100, "must not be empty"),
    "bad_share": (
        change(share=0),
        422,
        502,
        "client_accounts[0].share: is 0, must be above 0",
    ),
    "old_base": (change(base_revision=7), 409, 500, "base revision 7"),
    "too_large": (b" " * 5_000_000, 413, 105, "4194304 bytes"),
}


@pytest.mark.parametrize(
    ("body", "status", "code", "reason"),
    INVALID_CHANGES.values(),
    ids=INVALID_CHANGES.keys(),
)
async def test_invalid_change_is_refused_and_not_run(
    client: test_utils.TestClient[Any, Any],
    node: operator_node.OperatorNode,
    body: Any,
    status: int,
    code: int,
    reason: str,
) -> None:
    if isinstance(body, bytes):
        response = await client.post("/v1/config", data=body)
    else:
        response = await client.post("/v1/config", json=body)
    problem = await response.json()
    assert (response.status, problem["code"]) == (status, code)
    assert reason in problem["reason"]
    assert problem["ran"] == "not_run"
    assert node.shared.view.configuration is None


async def test_retried_change_is_applied_once_and_read_back(
    client: test_utils.TestClient[Any, Any],
) -> None:
    for _ in range(2):
        response = await client.post("/v1/config", json=change())
        assert await response.json() == {"code": 0, "revision": 1}
    current = await (await client.get("/v1/config")).json()
    assert current["declarations"]["client_accounts"][0]["share"] == 3
    history = await (await client.get("/v1/config/history")).json()
    assert [line["change_id"] for line in history] == ["c1"]
    assert (await client.get("/v1/config/1")).status == 200
    missing = await (await client.get("/v1/config/9")).json()
    assert "kept revisions: 1" in missing["reason"]


async def test_second_change_with_the_same_base_revision_conflicts(
    client: test_utils.TestClient[Any, Any],
) -> None:
    await client.post("/v1/config", json=change())
    response = await client.post("/v1/config", json=change("c2", share=4))
    problem = await response.json()
    assert (problem["code"], problem["current_revision"]) == (500, 1)


@pytest.mark.parametrize(
    "path",
    [
        "/v1/status",
        "/v1/config",
        "/v1/config/history",
        "/v1/config/in-force",
        "/v1/accounts",
        "/v1/replicas",
        "/v1/backends",
        "/v1/drain",
        "/v1/quarantine",
    ],
)
@pytest.mark.parametrize("key", ["", "Bearer wrong", "Basic operator-key"])
async def test_request_without_a_valid_key_is_refused(
    client: test_utils.TestClient[Any, Any], path: str, key: str
) -> None:
    response = await client.get(path, headers={"Authorization": key})
    assert (response.status, (await response.json())["code"]) == (401, 101)


async def test_isolated_node_returns_no_outdated_configuration(
    client: test_utils.TestClient[Any, Any], node: operator_node.OperatorNode
) -> None:
    await client.post("/v1/config", json=change())
    node.shared.is_isolated = True
    for path in ("/v1/config", "/v1/config/history", "/v1/config/1"):
        assert (await (await client.get(path)).json())["code"] == 600
    status = await (await client.get("/v1/status")).json()
    assert not status["lease_holds"]


async def test_in_force_lists_lagging_nodes(
    client: test_utils.TestClient[Any, Any], node: operator_node.OperatorNode
) -> None:
    await client.post("/v1/config", json=change())
    before = await (await client.get("/v1/config/in-force")).json()
    assert before["in_force"] == ["n1"]
    assert [lag["node_id"] for lag in before["lagging"]] == ["n2"]
    record = node.shared.view.configuration
    assert record is not None
    await node.peer_shared.propose(
        state.ApplyDeclarations("c1", 0, record.declarations, "ann", 0), 1
    )
    after = await (await client.get("/v1/config/in-force")).json()
    assert (after["in_force"], after["lagging"]) == (["n1", "n2"], [])


async def test_drain_is_listed_and_can_be_ended(
    client: test_utils.TestClient[Any, Any], node: operator_node.OperatorNode
) -> None:
    command = state.PutReplica(operator_node.replica(), -1)
    await node.shared.propose(command, 1)
    body = {"instance_id": "i1"}
    assert (await client.post("/v1/drain", json=body)).status == 200
    drained = await (await client.get("/v1/drain")).json()
    [drain] = drained
    assert (drain["instance_id"], drain["held_by"]) == ("i1", "r1")
    assert (await client.delete("/v1/drain/i1")).status == 200
    assert (await client.delete("/v1/drain/i1")).status == 404


async def test_quarantine_is_listed_and_cleared(
    client: test_utils.TestClient[Any, Any], node: operator_node.OperatorNode
) -> None:
    await node.shared.propose(state.RecordContentCrash(b"\xab", "r1", 0, 9), 1)
    quarantined = await (await client.get("/v1/quarantine")).json()
    assert [content["digest"] for content in quarantined] == ["ab"]
    assert (await client.delete("/v1/quarantine/abc")).status == 400
    assert (await client.delete("/v1/quarantine/ab")).status == 200
    assert (await client.delete("/v1/quarantine/ab")).status == 404


async def test_backends_show_the_time_since_the_last_announcement(
    client: test_utils.TestClient[Any, Any], node: operator_node.OperatorNode
) -> None:
    announcement = model.Announcement(
        model.BackendServerId("b1"),
        "127.0.0.1:9",
        model.InstanceId("i1"),
        model.FailureDomainId("fd1"),
        model.FabricDomainId("fab1"),
        model.BackendServerKind.MODEL_ENGINE,
        1,
        1,
    )
    node.membership.record_announcement(announcement, node.clock.now_ms())
    node.clock.advance(400)
    [backend] = await (await client.get("/v1/backends")).json()
    assert backend["backend_server_id"] == "b1"
    assert backend["heard_ms_ago"] == 400
