"""Response bodies of the operators' interface."""

from collections.abc import Iterable
from typing import Any

from lagooncrank import model
from lagooncrank import settings
from lagooncrank.core import membership
from lagooncrank.core import state
from lagooncrank.server import _interfaces

#: Number of leading digits of a key digest that operators see.
_SHOWN_DIGEST_DIGITS = 8


def revision_summary(record: state.ConfigurationRecord) -> dict[str, Any]:
    """Returns a revision without its declarations."""
    return {
        "revision": record.revision,
        "change_id": record.change_id,
        "author": record.author,
        "wall_ms": record.wall_ms,
    }


def configuration(record: state.ConfigurationRecord) -> dict[str, Any]:
    """Returns a revision with its declarations."""
    declarations = model.to_builtins(record.declarations)
    return {**revision_summary(record), "declarations": declarations}


def accounts(record: state.ConfigurationRecord | None) -> list[Any]:
    """Returns each client account with its fraction of all shares."""
    client_accounts = record.declarations.client_accounts if record else ()
    total_share = sum(account.share for account in client_accounts)
    return [
        {
            **model.to_builtins(account),
            "key_sha256s": [
                digest[:_SHOWN_DIGEST_DIGITS] for digest in account.key_sha256s
            ],
            "share_fraction": round(account.share / total_share, 4),
        }
        for account in client_accounts
    ]


def replicas(replicas_by_id: dict[model.ReplicaId, model.Replica]) -> list[Any]:
    """Returns every replica, sorted by id."""
    ordered = sorted(replicas_by_id.values(), key=lambda r: r.replica_id)
    return [model.to_builtins(replica) for replica in ordered]


def backends(members: Iterable[membership.Member], now_ms: int) -> list[Any]:
    """Returns the backend servers with valid leases, sorted by id."""
    ordered = sorted(members, key=lambda m: m.announcement.backend_server_id)
    return [
        {
            **model.to_builtins(member.announcement),
            "heard_ms_ago": now_ms - member.last_seen_ms,
            "lease_ends_in_ms": member.lease_end_ms - now_ms,
        }
        for member in ordered
    ]


def drains(view: _interfaces.StateView) -> list[Any]:
    """Returns each drained instance with the replica that still uses it."""
    holding_replicas = {
        instance_id: replica.replica_id
        for replica in view.replicas.values()
        if replica.holds_instances
        for instance_id in replica.instances
    }
    return [
        {
            **model.to_builtins(drain),
            "held_by": holding_replicas.get(instance_id),
        }
        for instance_id, drain in sorted(view.drains.items())
    ]


def quarantine(
    crash_records: dict[bytes, state.ContentCrashRecord],
) -> list[Any]:
    """Returns each content with recorded crashes, sorted by digest."""
    return [
        {
            "digest": record.digest.hex(),
            "victims": list(record.victims),
            "lapses_wall_ms": record.lapses_wall_ms,
        }
        for _, record in sorted(crash_records.items())
    ]


def status(
    process_settings: settings.ProcessSettings,
    shared: _interfaces.SharedState,
    links: _interfaces.PeerLinks,
    members: Iterable[membership.Member],
) -> dict[str, Any]:
    """Returns the state of this node and what it knows of the others."""
    view = shared.view
    record = view.configuration
    connected = links.connected()
    own_node = process_settings.own_node
    return {
        "node_id": own_node.node_id,
        "failure_domain_id": own_node.failure_domain_id,
        "roles": list(own_node.roles),
        "leader": shared.leader,
        "term": shared.term,
        "lease_holds": shared.lease_holds(),
        "applied_index": view.applied_index,
        "revision": record.revision if record else 0,
        "peers": [
            {
                "node_id": node.node_id,
                "failure_domain_id": node.failure_domain_id,
                "connected": node.node_id in connected,
            }
            for node in process_settings.nodes
            if node.node_id != own_node.node_id
        ],
        "replicas": _count(r.state for r in view.replicas.values()),
        "backend_servers": _count(m.announcement.state for m in members),
    }


def _count(states: Iterable[str]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for name in states:
        counts[name] = counts.get(name, 0) + 1
    return counts
