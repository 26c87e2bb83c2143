"""Settings of a daemon that finds the others through seeds."""

import dataclasses

from lagooncrank import model
from lagooncrank.settings import _process


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses "ip:port" to listen on; empty ones are not served."""

    callers: str = ""
    readiness: str = ""
    operators: str = ""
    directory: str = ""
    #: Address for peer links if it is not the one that peers dial, as behind
    #: an address translation.
    peers: str = ""
    #: Metrics of the process.
    metrics: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTiming:
    """Durations that the deployment promises or expects."""

    #: Interval at which backend servers report.
    report_interval_ms: int = 1_200
    #: Time between the signal to stop and the end by force.
    stop_grace_ms: int = 8_000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Limit on loads from the weight store."""

    window_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class SeededSettings:
    """Everything that one seeded daemon reads at its start."""

    role: _process.Role
    #: IP address of the instance, which names the node.
    ip: str
    failure_domain_id: model.FailureDomainId
    #: Port of the peer links, the same on every node.
    peer_port: int
    #: Addresses "ip:port" of control nodes to ask first; the port is the
    #: one for operators and not used.
    seeds: tuple[str, ...]
    #: Key shared by all nodes of the deployment.
    shared_key: str
    #: Whether the whole system starts for the first time.
    is_first_start: bool = False
    #: Folder for durable state; empty on nodes without a disk.
    data_folder: str = ""
    #: Disks that may be lost at once.
    tolerated_disk_losses: int = 1
    listen: ListenSettings = ListenSettings()
    timing: FleetTiming = FleetTiming()
    retry: model.RetryBudgetRules = dataclasses.field(
        default_factory=model.RetryBudgetRules
    )
    loads: LoadSettings = LoadSettings()
    log_level: str = "INFO"

    @property
    def node_id(self) -> model.NodeId:
        """Name of the node."""
        return model.NodeId(self.ip)

    @property
    def seed_ids(self) -> tuple[model.NodeId, ...]:
        """Names of the control nodes to ask first."""
        hosts = (seed.rpartition(":")[0] or seed for seed in self.seeds)
        return tuple(model.NodeId(host) for host in hosts)

    def peer_address(self, node_id: model.NodeId) -> str:
        """Returns the address of another node's peer links."""
        return f"{node_id}:{self.peer_port}"
