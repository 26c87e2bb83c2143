"""Limits of backend servers, and permits, as nodes exchange them."""

import dataclasses
import enum
from typing import Final

from lagooncrank import model

#: Requests per second from which on a limit counts as none.
MAX_RATE_PER_S: Final = 10_000.0

#: A process of a server: its id and start time.
Process = tuple[model.BackendServerId, int]


class LimitKind(enum.Enum):
    """What a response says about its server's limit."""

    NONE = "none"
    RATE = "rate"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class StatedLimit:
    """What one response says about its server's limit."""

    kind: LimitKind
    #: Requests per second from all entries together, 0 or more.
    rate_per_s: float = 0.0

    @classmethod
    def from_rates(cls, rates_per_s: list[float]) -> "StatedLimit":
        """Returns the lowest of some valid rates; none if all are very high.

        >>> StatedLimit.from_rates([2.5, 1.5]).rate_per_s
        1.5
        >>> StatedLimit.from_rates([1e9]) == UNLIMITED
        True
        """
        rate_per_s = min(rates_per_s)
        if rate_per_s > MAX_RATE_PER_S:
            return UNLIMITED
        return cls(LimitKind.RATE, rate_per_s)


#: A response without a limit.
UNLIMITED: Final = StatedLimit(LimitKind.NONE)
#: A response whose limit cannot be read.
INVALID: Final = StatedLimit(LimitKind.INVALID)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """Newest knowledge about the limit of one process."""

    server_id: model.BackendServerId
    #: Start time of the process.
    born_ms: int
    #: Requests per second; None if the limit was withdrawn.
    rate_per_s: float | None
    #: Time since the limit was stated or withdrawn, when this was passed on.
    age_ms: int = 0

    @property
    def process(self) -> Process:
        """The process whose limit it is."""
        return self.server_id, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReports:
    """Limits that a node passes on."""

    reports: tuple[LimitReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """An entry's request for permits to send to one process."""

    #: The limit as the entry knows it.
    limit: LimitReport
    #: Number of permits that the entry can use.
    count: int
    #: Time for which the request stands if no permit is available now.
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequests:
    """Requests for permits that an entry sends at one moment."""

    requests: tuple[PermitRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitGrant:
    """Permits for an entry, or how long it takes to get one."""

    server_id: model.BackendServerId
    born_ms: int
    #: Number of requests that the entry may send; 0 if it must wait.
    count: int
    #: Estimated time until the next permit for this entry is available.
    wait_ms: int

    @property
    def process(self) -> Process:
        """The process that the permits are for."""
        return self.server_id, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class PermitGrants:
    """Permits that an issuer sends to an entry at one moment."""

    grants: tuple[PermitGrant, ...]
