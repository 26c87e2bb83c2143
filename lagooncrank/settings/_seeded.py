"""Settings of a daemon that discovers other nodes through seeds."""

import dataclasses

from lagooncrank import model
from lagooncrank.settings import _process


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Listen addresses, as "ip:port"; an empty address is not served."""

    callers: str = ""
    readiness: str = ""
    operators: str = ""
    directory: str = ""
    #: Address for peer links if it differs from the one that peers dial, as
    #: behind network address translation.
    peers: str = ""
    metrics: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTiming:
    """Intervals and time limits of the deployment."""

    #: Interval between the reports of a backend server.
    report_interval_ms: int = 1_200
    #: Time between the stop signal and the forced termination.
    stop_grace_ms: int = 8_000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Limit on loads from the weight store."""

    #: Length of the sliding window in which loads are counted.
    window_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class SeededSettings:
    """Settings that one seeded daemon reads at startup."""

    role: _process.Role
    #: IP address of the instance, which is also the node id.
    ip: str
    failure_domain_id: model.FailureDomainId
    #: Port for peer links, the same on every node.
    peer_port: int
    #: Addresses "ip:port" of the control nodes to contact first; the port is
    #: the one for operators and is ignored.
    seeds: tuple[str, ...]
    #: Key shared by all nodes of the deployment.
    shared_key: str
    #: Whether this is the first start of the whole system.
    is_first_start: bool = False
    #: Folder for durable state; empty on nodes without a disk.
    data_folder: str = ""
    #: Number of simultaneous disk losses to tolerate.
    tolerated_disk_losses: int = 1
    listen: ListenSettings = ListenSettings()
    timing: FleetTiming = FleetTiming()
    retry: model.RetryBudgetRules = dataclasses.field(
        default_factory=model.RetryBudgetRules
    )
    loads: LoadSettings = LoadSettings()
    #: Port for requests that entries delegate to each other, the same on every
    #: entry; 0 if they do not.
    delegation_port: int = 0
    #: Local IP address of connections to backend servers; empty for the
    #: kernel's choice.
    source_ip: str = ""
    #: Memory that the process may use; bodies of requests and responses get
    #: a part of it.
    memory_limit_mb: int = 200
    log_level: str = "INFO"

    @property
    def node_id(self) -> model.NodeId:
        """Id of this node."""
        return model.NodeId(self.ip)

    @property
    def seed_ids(self) -> tuple[model.NodeId, ...]:
        """Ids of the control nodes to contact first."""
        hosts = (seed.rpartition(":")[0] or seed for seed in self.seeds)
        return tuple(model.NodeId(host) for host in hosts)

    def peer_address(self, node_id: model.NodeId) -> str:
        """Returns the address for peer links of another node."""
        return f"{node_id}:{self.peer_port}"

    def delegation_address(self, ip: str) -> str:
        """Returns an entry's address for delegated requests; empty if none."""
        return f"{ip}:{self.delegation_port}" if self.delegation_port else ""
