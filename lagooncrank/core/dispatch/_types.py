"""Targets of requests."""

import dataclasses

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A server of a plain service, or the head engine of a group."""

    server_id: model.BackendServerId
    address: str
    service: model.ServiceName
    failure_domain: model.FailureDomainId
    #: Number of requests that the target processes concurrently.
    slots: int
    #: Name of the group that the target heads; empty for a plain service.
    group: str = ""
    #: Start time of the process that the request is meant for; 0 if unknown.
    born_ms: int = 0
    #: Whether the target is another entry, which the request is delegated to.
    is_entry: bool = False
    #: Epoch of that group; 0 for a plain service.
    epoch: int = 0

    @property
    def process(self) -> tuple[model.BackendServerId, int]:
        """Id and start time of the process."""
        return (self.server_id, self.born_ms)
