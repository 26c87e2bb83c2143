"""Registry of admission policies."""

import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core import counting
from lagooncrank.core.admission import _types


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """Initial configuration of an admission policy at one entry."""

    node_id: model.NodeId
    #: Increases with each start of the entry.
    incarnation: int
    #: Number of entries that share the capacity, including this one.
    entries: int = 1
    counters: counting.EventCounters = dataclasses.field(
        default_factory=counting.NullEventCounters
    )


class AdmissionFactory(Protocol):
    """Interface of a class that the admission policy registry holds."""

    @classmethod
    def from_config(cls, config: AdmissionConfig) -> _types.AdmissionPolicy:
        """Returns a new policy object for one entry."""


#: Admission policies by their name in the settings.
ADMISSION_POLICIES: registry.Registry[type[AdmissionFactory]] = (
    registry.Registry("admission policy")
)
