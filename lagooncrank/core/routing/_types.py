"""What routing is asked and what it answers."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A serving replica or a ready backend server of a plain service."""

    #: Replica id, or backend server id for a plain service.
    target_id: str
    #: Where requests go, as "ip:port".
    address: str
    failure_domain_id: model.FailureDomainId
    #: Changes when the processes behind the target were replaced.
    incarnation: str
    #: Latest load report of the member that takes requests.
    load: model.LoadReport
    #: When the report arrived at this entry, on its monotonic clock.
    load_received_ms: int
    concurrency: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteQuery:
    """One attempt that needs a target."""

    request_id: model.RequestId
    service: model.ServiceName
    account: model.ClientAccountId
    prompt_tokens: int
    expected_output_tokens: int
    #: Digest of each prompt block's prefix, shortest prefix first.
    prefix_digests: tuple[int, ...] = ()
    #: Targets that must not be chosen.
    excluded: frozenset[str] = frozenset()
    #: Engine priority of the attempt; only lent work (above 0) is used to
    #: measure a straggler anew.
    priority: int = 0
    #: Whether only this entry's home targets may be chosen, so that no other
    #: entry puts another suspect content at the same target.
    isolated: bool = False


class AttemptOutcome(enum.StrEnum):
    """How an attempt at a target ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    CONNECT_FAILED = "connect_failed"
    LOST = "lost"
    SILENT = "silent"


class Router(Protocol):
    """Chooses targets; one object serves one entry."""

    def choose(
        self, query: RouteQuery, targets: Sequence[Target], now_ms: int
    ) -> Target | None:
        """Returns the target for an attempt, or None to let it wait."""

    def sent(self, query: RouteQuery, target: Target, now_ms: int) -> None:
        """Notes that an attempt went to `target`."""

    def first_token(self, request_id: model.RequestId, now_ms: int) -> None:
        """Notes the first byte of an attempt's answer."""

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> None:
        """Notes `count` further tokens of an attempt's answer."""

    def ended(
        self, request_id: model.RequestId, end: AttemptOutcome, now_ms: int
    ) -> None:
        """Notes the end of an attempt."""

    def update_cache_hints(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Notes prefix digests that entered and left a target's cache."""

    def clear_cache_hints(self, target_id: str) -> None:
        """Forgets every cache hint of a target, after a gap in its events."""

    def set_unresponsive_entries(
        self, entries: Collection[model.NodeId]
    ) -> None:
        """Takes the entries that were not heard from lately."""

    def stragglers(self, service: model.ServiceName) -> frozenset[str]:
        """Returns the targets that are slow; lent work may use them."""

    def avoided(
        self, service: model.ServiceName, now_ms: int
    ) -> frozenset[str]:
        """Returns the targets that get no ordinary work now.

        They are stragglers or failed lately, so capacity is without them.
        """
