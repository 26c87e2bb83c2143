"""What a request is sent to."""

import dataclasses

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A plain server, or the head of a group."""

    server_id: model.BackendServerId
    address: str
    service: model.ServiceName
    failure_domain: model.FailureDomainId
    #: Requests that it works on at once.
    slots: int
    #: Group whose head it is; empty for a plain server.
    group: str = ""
