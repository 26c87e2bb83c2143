"""Registry of admission policies and what one is built from."""

import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core import counting
from lagooncrank.core.admission import _types


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """What an admission policy needs to know of its entry."""

    node_id: model.NodeId
    #: Higher for each start of the entry.
    incarnation: int
    #: Entries that share the capacity, this one included.
    entries: int = 1
    counts: counting.EventCounters = dataclasses.field(
        default_factory=counting.NullEventCounters
    )


class AdmissionFactory(Protocol):
    """Class of an admission policy."""

    @classmethod
    def from_config(cls, config: AdmissionConfig) -> _types.AdmissionPolicy:
        """Returns a new policy object for one entry."""


#: Every admission policy by the name that settings use.
ADMISSION_POLICIES: registry.Registry[type[AdmissionFactory]] = (
    registry.Registry("admission policy")
)
