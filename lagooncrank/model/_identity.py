"""Identifier types; each is a string at run time."""

from typing import NewType

#: One process of the system itself.
NodeId = NewType("NodeId", str)
#: One machine that runs backend servers.
InstanceId = NewType("InstanceId", str)
#: Group of instances that can fail together, such as a site.
FailureDomainId = NewType("FailureDomainId", str)
#: Group of instances joined by a fast fabric; a replica stays within one.
FabricDomainId = NewType("FabricDomainId", str)
#: One process that serves a model (or part of one) or a plain service.
BackendServerId = NewType("BackendServerId", str)
#: One organisation or team that sends requests.
ClientAccountId = NewType("ClientAccountId", str)
#: Name of a model service or a plain service.
ServiceName = NewType("ServiceName", str)
#: One group of instances that serves a model as a whole.
ReplicaId = NewType("ReplicaId", str)
#: One request of a caller, chosen by the caller or by the entry.
RequestId = NewType("RequestId", str)
