"""Targets that one entry may route to.

Each entry derives them from the replicated assignments and from the members
that are live in its own view. When a member of a replica is missing, routing
to the replica therefore stops without waiting for the leader.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from lagooncrank import model
from lagooncrank.core import membership
from lagooncrank.core.routing import _types

#: Concurrent calls per backend server of a plain service.
PLAIN_CONCURRENCY = 64

#: Live members, as one entry sees them, by backend server id.
Members = Mapping[model.BackendServerId, membership.Member]


def index_members(members: Iterable[membership.Member]) -> Members:
    """Returns the members by backend server id."""
    return {m.announcement.backend_server_id: m for m in members}


def replica_targets(
    service: model.ModelService,
    replicas: Iterable[model.Replica],
    members: Members,
    now_ms: int,
) -> Iterator[_types.Target]:
    """Yields a target for each replica of a service whose members are ready.

    Args:
        service: The declared model service.
        replicas: The replicated assignments; those of other services are
            skipped.
        members: The backend servers that this entry knows.
        now_ms: Monotonic time of this entry, in milliseconds.
    """
    for replica in replicas:
        if replica.service != service.name:
            continue
        if has_all_members_ready(replica, members, now_ms):
            yield _replica_target(service, replica, members)


def has_all_members_ready(
    replica: model.Replica, members: Members, now_ms: int
) -> bool:
    """Returns whether a replica serves and all its members are ready for it."""
    if replica.state is not model.ReplicaState.SERVING:
        return False
    pairs = zip(replica.backend_servers, replica.instances, strict=True)
    return all(
        _is_ready_for(replica, instance_id, members.get(server_id), now_ms)
        for server_id, instance_id in pairs
    )


def plain_targets(
    service: model.ServiceName,
    members: Iterable[membership.Member],
    now_ms: int,
) -> Iterator[_types.Target]:
    """Yields a target for each ready backend server of a plain service.

    Args:
        service: Name of the plain service.
        members: The backend servers that this entry knows.
        now_ms: Monotonic time of this entry, in milliseconds.
    """
    for member in members:
        announcement = member.announcement
        if announcement.kind is not model.BackendServerKind.PLAIN_SERVICE:
            continue
        if service in announcement.serves and _is_ready(member, now_ms):
            yield _types.Target(
                target_id=announcement.backend_server_id,
                address=announcement.address,
                failure_domain_id=announcement.failure_domain_id,
                incarnation=str(announcement.incarnation),
                load=announcement.load,
                load_received_ms=member.last_seen_ms,
                concurrency=PLAIN_CONCURRENCY,
            )


def _is_ready(member: membership.Member, now_ms: int) -> bool:
    if member.lease_end_ms <= now_ms:
        return False
    return member.announcement.state is model.BackendServerState.READY


def _is_ready_for(
    replica: model.Replica,
    instance_id: model.InstanceId,
    member: membership.Member | None,
    now_ms: int,
) -> bool:
    if member is None or not _is_ready(member, now_ms):
        return False
    if member.announcement.instance_id != instance_id:
        return False
    return member.announcement.loaded == model.LoadedModel(
        service=replica.service,
        replica_id=replica.replica_id,
        version=replica.version,
        fencing_number=replica.fencing_number,
        ready=True,
    )


def _replica_target(
    service: model.ModelService, replica: model.Replica, members: Members
) -> _types.Target:
    replica_members = [
        members[server_id] for server_id in replica.backend_servers
    ]
    first = replica_members[0]
    incarnations = (str(m.announcement.incarnation) for m in replica_members)
    return _types.Target(
        target_id=replica.replica_id,
        address=first.announcement.address,
        failure_domain_id=first.announcement.failure_domain_id,
        incarnation=f"{replica.fencing_number}:{'.'.join(incarnations)}",
        load=first.announcement.load,
        load_received_ms=first.last_seen_ms,
        concurrency=service.concurrency_per_replica,
    )
