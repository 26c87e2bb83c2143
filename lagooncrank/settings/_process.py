"""Settings of one daemon process."""

import dataclasses

from lagooncrank import model

#: Kept under this name for those who build settings.
Role = model.NodeRole


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """One node of the system as the others see it."""

    node_id: model.NodeId
    #: IP address and port of the peer links, as "ip:port".
    peer_address: str
    #: IP address and port that callers connect to, as "ip:port".
    entry_address: str
    failure_domain_id: model.FailureDomainId
    roles: tuple[Role, ...] = (Role.ENTRY,)

    @property
    def is_initial_voter(self) -> bool:
        """Whether the node is a voter when the system first starts."""
        return Role.CONTROL in self.roles


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on what one caller may cost an entry."""

    request_bytes: int = 1_048_576
    header_bytes: int = 16_384
    sender_timeout_ms: int = 10_000
    reader_timeout_ms: int = 30_000
    #: Bytes buffered for a slow reader before the stream pauses.
    reader_buffer_bytes: int = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Names under which the policies of an entry are registered."""

    admission: str = "fair_share"
    router: str = "balanced"
    retry: str = "budget"
    suspicion: str = "crash_marks"
    placement: str = "weighted"


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Everything that one daemon reads at its start."""

    node_id: model.NodeId
    #: Every node of the system, this one included.
    nodes: tuple[PeerSettings, ...]
    #: File that holds the key shared by all nodes.
    shared_key_file: str
    #: SHA-256 of each operator key, in lower-case hexadecimal.
    operator_key_sha256s: tuple[str, ...] = ()
    #: Folder for durable state; empty on nodes without a disk.
    data_folder: str = ""
    limits: LimitSettings = LimitSettings()
    policies: PolicySettings = PolicySettings()
    #: Longest wait for requests in flight at a planned stop.
    stop_deadline_ms: int = 120_000
    log_level: str = "INFO"

    @property
    def own_node(self) -> PeerSettings:
        """The entry of `nodes` that describes this node."""
        return next(n for n in self.nodes if n.node_id == self.node_id)

    @property
    def initial_voters(self) -> tuple[PeerSettings, ...]:
        """The nodes that vote when the system first starts."""
        return tuple(n for n in self.nodes if n.is_initial_voter)
