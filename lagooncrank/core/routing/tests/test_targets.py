from collections.abc import Sequence
from typing import Any

import pytest

from lagooncrank import model
from lagooncrank.core import membership
from lagooncrank.core import routing

NOW_MS = 1_000
SERVICE = model.ModelService(
    name=model.ServiceName("drafts"),
    version="v1",
    replicas=1,
    replicas_floor=1,
    instances_per_replica=2,
)
REPLICA = model.Replica(
    replica_id=model.ReplicaId("drafts-1"),
    service=SERVICE.name,
    version="v1",
    fabric_domain_id=model.FabricDomainId("fab1"),
    instances=(model.InstanceId("i0"), model.InstanceId("i1")),
    backend_servers=(
        model.BackendServerId("b0"),
        model.BackendServerId("b1"),
    ),
    fencing_number=3,
    state=model.ReplicaState.SERVING,
)
LOADED = model.LoadedModel(SERVICE.name, REPLICA.replica_id, "v1", 3, True)


def member(
    index: int, lease_end_ms: int = NOW_MS + 1, **changes: Any
) -> membership.Member:
    announcement = model.Announcement(
        backend_server_id=model.BackendServerId(f"b{index}"),
        address=f"127.0.0.1:900{index}",
        instance_id=model.InstanceId(f"i{index}"),
        failure_domain_id=model.FailureDomainId("fd1"),
        fabric_domain_id=model.FabricDomainId("fab1"),
        kind=model.BackendServerKind.MODEL_ENGINE,
        incarnation=7,
        sequence=1,
        loaded=LOADED,
    )
    return membership.Member(
        announcement=announcement.with_changes(**changes),
        last_seen_ms=NOW_MS - 10,
        lease_end_ms=lease_end_ms,
    )


def loaded(**changes: Any) -> model.LoadedModel:
    return model.LoadedModel(
        service=changes.get("service", LOADED.service),
        replica_id=changes.get("replica_id", LOADED.replica_id),
        version=changes.get("version", LOADED.version),
        fencing_number=changes.get("fencing_number", LOADED.fencing_number),
        ready=changes.get("ready", LOADED.ready),
    )


def targets(
    members: Sequence[membership.Member], replica: model.Replica = REPLICA
) -> list[routing.Target]:
    index = routing.index_members(members)
    return list(routing.replica_targets(SERVICE, [replica], index, NOW_MS))


def test_replica_with_all_members_ready_is_a_target() -> None:
    (target,) = targets([member(0), member(1)])
    assert target.target_id == "drafts-1"
    assert target.address == "127.0.0.1:9000"
    assert target.incarnation == "3:7.7"


@pytest.mark.parametrize(
    "second",
    [
        pytest.param(None, id="unknown"),
        pytest.param(member(1, lease_end_ms=NOW_MS), id="lease_expired"),
        pytest.param(
            member(1, state=model.BackendServerState.LEAVING), id="leaving"
        ),
        pytest.param(member(1, loaded=None), id="nothing_loaded"),
        pytest.param(member(1, loaded=loaded(ready=False)), id="loading"),
        pytest.param(member(1, loaded=loaded(version="v0")), id="old_version"),
        pytest.param(
            member(1, loaded=loaded(fencing_number=2)), id="old_fencing_number"
        ),
        pytest.param(
            member(1, loaded=loaded(replica_id="other")), id="other_replica"
        ),
        pytest.param(
            member(1, instance_id=model.InstanceId("i9")),
            id="moved_to_other_instance",
        ),
    ],
)
def test_replica_with_a_member_not_ready_is_not_a_target(
    second: membership.Member | None,
) -> None:
    members = [m for m in (member(0), second) if m is not None]
    assert targets(members) == []


@pytest.mark.parametrize(
    "state",
    [s for s in model.ReplicaState if s is not model.ReplicaState.SERVING],
)
def test_only_serving_replicas_are_targets(state: model.ReplicaState) -> None:
    replica = REPLICA.with_changes(state=state)
    assert targets([member(0), member(1)], replica) == []


def test_plain_targets_are_ready_servers_of_the_service() -> None:
    plain: dict[str, Any] = {
        "kind": model.BackendServerKind.PLAIN_SERVICE,
        "serves": (model.ServiceName("bookings"),),
        "loaded": None,
    }
    members = [
        member(0, **plain),
        member(1, **plain, state=model.BackendServerState.LEAVING),
        member(2, NOW_MS, **plain),
        member(3),
        member(4, **(plain | {"serves": (model.ServiceName("status"),)})),
    ]
    found = routing.plain_targets(
        model.ServiceName("bookings"), members, NOW_MS
    )
    assert [target.target_id for target in found] == ["b0"]
