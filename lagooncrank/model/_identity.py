"""Identifier types, which are strings at run time."""

from typing import NewType

#: One process of the system itself: an entry, a control node or both.
NodeId = NewType("NodeId", str)
#: One machine that runs backend servers.
InstanceId = NewType("InstanceId", str)
#: Group of instances that can fail together, such as a site.
FailureDomainId = NewType("FailureDomainId", str)
#: Group of instances with a fast interconnect; a replica never spans two.
FabricDomainId = NewType("FabricDomainId", str)
#: One process that serves a model (or a part of one) or a plain service.
BackendServerId = NewType("BackendServerId", str)
#: One organisation or team that sends requests.
ClientAccountId = NewType("ClientAccountId", str)
#: Name of a model service or a plain service.
ServiceName = NewType("ServiceName", str)
#: One group of instances that together serve a model.
ReplicaId = NewType("ReplicaId", str)
#: One request of a caller; the caller or the entry assigns the identifier.
RequestId = NewType("RequestId", str)
