"""Registry of routing policies and their configuration."""

import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core.routing import _types


@dataclasses.dataclass(frozen=True, slots=True)
class RouterConfig:
    """Configuration of the router of one entry."""

    node_id: model.NodeId
    failure_domain_id: model.FailureDomainId
    #: Entries that route to the same targets; may or may not contain this one.
    entries: tuple[model.NodeId, ...] = ()


class RouterFactory(Protocol):
    """Interface of a router class."""

    @classmethod
    def from_config(cls, config: RouterConfig) -> _types.Router:
        """Returns a new router for the entry that `config` describes."""


#: Router classes by their name in the settings.
ROUTERS: registry.Registry[type[RouterFactory]] = registry.Registry("router")
