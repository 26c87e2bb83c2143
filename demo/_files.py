"""Settings, declarations and keys of the demo's processes."""

import dataclasses
import hashlib
import pathlib
from typing import Any

import yaml

from standins import ports

DOMAINS = ("domain-1", "domain-2", "domain-3")
ACCOUNT_KEY = "demo-account-key"
OPERATOR_KEY = "demo-operator-key"
MODEL = "quote-drafts"
BOOKING = "site-visits"
REPLICAS = 2
INSTANCES_PER_REPLICA = 2
ENTRIES_KEEP_FOR_MS = 500


def sha256(key: str) -> str:
    """Returns a key's digest, as settings and declarations contain it."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Files:
    """Paths of the demo's files, and the entries' addresses in them."""

    folder: pathlib.Path
    #: Settings file of each node.
    settings: tuple[pathlib.Path, ...]
    #: Address at which each node serves callers.
    entries: tuple[str, ...]
    declarations: pathlib.Path
    operator_key: pathlib.Path

    @classmethod
    def write_to(cls, folder: pathlib.Path) -> "Files":
        """Writes all files to `folder`, with free ports in the settings."""
        addresses = ports.free_addresses(2 * len(DOMAINS))
        entries = tuple(addresses[: len(DOMAINS)])
        nodes = _nodes(entries, addresses[len(DOMAINS) :])
        shared_key = folder / "shared.key"
        shared_key.write_text("demo-shared-key-of-all-nodes-0123456789\n")
        operator_key = folder / "operator.key"
        operator_key.write_text(OPERATOR_KEY + "\n")
        declarations = folder / "declarations.yaml"
        declarations.write_text(yaml.safe_dump(_declarations()))
        settings = tuple(
            _write_settings(folder, node["node_id"], nodes, shared_key)
            for node in nodes
        )
        return cls(folder, settings, entries, declarations, operator_key)


def _nodes(entries: tuple[str, ...], peers: list[str]) -> list[dict[str, Any]]:
    return [
        {
            "node_id": f"n{number}",
            "peer_address": peer,
            "entry_address": entry,
            "failure_domain_id": domain,
            "roles": ["entry", "control"],
        }
        for number, (domain, entry, peer) in enumerate(
            zip(DOMAINS, entries, peers, strict=True), start=1
        )
    ]


def _write_settings(
    folder: pathlib.Path,
    node_id: str,
    nodes: list[dict[str, Any]],
    shared_key: pathlib.Path,
) -> pathlib.Path:
    data_folder = folder / f"{node_id}-data"
    data_folder.mkdir()
    path = folder / f"{node_id}.yaml"
    values = {
        "node_id": node_id,
        "nodes": nodes,
        "shared_key_file": str(shared_key),
        "operator_key_sha256s": [sha256(OPERATOR_KEY)],
        "data_folder": str(data_folder),
    }
    path.write_text(yaml.safe_dump(values))
    return path


def _declarations() -> dict[str, Any]:
    return {
        "model_services": [
            {
                "name": MODEL,
                "version": "v1",
                "replicas": REPLICAS,
                "replicas_floor": 1,
                "instances_per_replica": INSTANCES_PER_REPLICA,
            }
        ],
        "plain_services": [{"name": BOOKING, "repeatable": False}],
        "client_accounts": [
            {
                "name": "call-centre",
                "key_sha256s": [sha256(ACCOUNT_KEY)],
                "share": 1,
            }
        ],
        "leases": {"entries_keep_for_ms": ENTRIES_KEEP_FOR_MS},
    }
