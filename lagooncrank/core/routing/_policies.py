"""Registry of routers and what one is built from."""

import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core.routing import _types


@dataclasses.dataclass(frozen=True, slots=True)
class RouterConfig:
    """What a router needs to know of its entry."""

    node_id: model.NodeId
    failure_domain_id: model.FailureDomainId
    #: Entries that route to the same targets, this one included or not.
    entries: tuple[model.NodeId, ...] = ()


class RouterFactory(Protocol):
    """Class of a router."""

    @classmethod
    def from_config(cls, config: RouterConfig) -> _types.Router:
        """Returns a new router for one entry."""


#: Every router by the name that settings use.
ROUTERS: registry.Registry[type[RouterFactory]] = registry.Registry("router")
