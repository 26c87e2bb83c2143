"""Settings of a daemon whose settings file lists all nodes."""

import dataclasses

from lagooncrank import model

#: Alias of `model.NodeRole` for code that builds settings.
Role = model.NodeRole


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Identity, addresses and roles of one node of the system."""

    node_id: model.NodeId
    #: IP address and port for peer links, as "ip:port".
    peer_address: str
    #: IP address and port for callers, as "ip:port".
    entry_address: str
    failure_domain_id: model.FailureDomainId
    roles: tuple[Role, ...] = (Role.ENTRY,)

    @property
    def is_initial_voter(self) -> bool:
        """Whether the node is a voter at the first start of the system."""
        return Role.CONTROL in self.roles


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the resources that one caller can use at an entry."""

    request_bytes: int = 1_048_576
    header_bytes: int = 16_384
    sender_timeout_ms: int = 10_000
    reader_timeout_ms: int = 30_000
    #: Bytes buffered for a slow reader before its stream is paused.
    reader_buffer_bytes: int = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Registered names of the policies that a node uses."""

    admission: str = "fair_share"
    router: str = "balanced"
    retry: str = "budget"
    suspicion: str = "crash_marks"
    placement: str = "weighted"


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings that one daemon reads at startup."""

    node_id: model.NodeId
    #: All nodes of the system, including this one.
    nodes: tuple[PeerSettings, ...]
    #: File with the key shared by all nodes.
    shared_key_file: str
    #: SHA-256 of each operator key, in lower-case hexadecimal.
    operator_key_sha256s: tuple[str, ...] = ()
    #: Folder for durable state; empty on nodes without a disk.
    data_folder: str = ""
    limits: LimitSettings = LimitSettings()
    policies: PolicySettings = PolicySettings()
    #: Longest time that a planned stop waits for requests in flight.
    stop_deadline_ms: int = 120_000
    log_level: str = "INFO"

    @property
    def own_node(self) -> PeerSettings:
        """The item of `nodes` for this node."""
        return next(n for n in self.nodes if n.node_id == self.node_id)

    @property
    def initial_voters(self) -> tuple[PeerSettings, ...]:
        """The nodes that are voters at the first start of the system."""
        return tuple(n for n in self.nodes if n.is_initial_voter)
