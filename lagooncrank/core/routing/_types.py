"""Interface of a router: its queries, targets and callbacks."""

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
    #: Address that requests are sent to, as "ip:port".
    address: str
    failure_domain_id: model.FailureDomainId
    #: Changes when a process behind the target has been replaced.
    incarnation: str
    #: Latest load report of the member that receives the requests.
    load: model.LoadReport
    #: When this entry received the report, on its monotonic clock.
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
    #: Ids of targets that must not be chosen.
    excluded: frozenset[str] = frozenset()
    #: Engine priority of the attempt. Above 0 the attempt runs on borrowed
    #: capacity; only such attempts probe stragglers early.
    priority: int = 0
    #: Whether only home targets of this entry may be chosen, so that no other
    #: entry sends different suspected content to the same target.
    isolated: bool = False


class AttemptOutcome(enum.StrEnum):
    """How an attempt at a target ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    CONNECT_FAILED = "connect_failed"
    #: The connection broke, or the target violated the protocol.
    LOST = "lost"
    #: The target timed out, before the first byte or between bytes.
    SILENT = "silent"


class Router(Protocol):
    """Chooses the target of each attempt; every entry has its own router."""

    def choose(
        self, query: RouteQuery, targets: Sequence[Target], now_ms: int
    ) -> Target | None:
        """Returns the target of an attempt, or None if it must wait."""

    def sent(self, query: RouteQuery, target: Target, now_ms: int) -> None:
        """Records that an attempt was sent to `target`."""

    def first_token(self, request_id: model.RequestId, now_ms: int) -> None:
        """Records the first byte of an attempt's response."""

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> None:
        """Records `count` further output tokens of an attempt."""

    def ended(
        self,
        request_id: model.RequestId,
        outcome: AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Records the outcome of an attempt."""

    def update_cache_hints(
        self, target_id: str, added: Sequence[int], removed: Sequence[int]
    ) -> None:
        """Records prefix digests added to and removed from a target's cache."""

    def clear_cache_hints(self, target_id: str) -> None:
        """Discards every cache hint of a target, after a gap in its events."""

    def set_unresponsive_entries(
        self, entries: Collection[model.NodeId]
    ) -> None:
        """Replaces the set of entries that this entry cannot reach."""

    def stragglers(self, service: model.ServiceName) -> frozenset[str]:
        """Returns the ids of stragglers, which are slow targets.

        Attempts on borrowed capacity may still use them.
        """

    def avoided(
        self, service: model.ServiceName, now_ms: int
    ) -> frozenset[str]:
        """Returns the ids of targets that receive no ordinary requests now.

        They are stragglers or failed recently; admission does not count their
        capacity.
        """
