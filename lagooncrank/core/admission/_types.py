"""Types and protocol of the admission policies."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import results


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A request that is submitted for admission."""

    request_id: model.RequestId
    account: model.ClientAccountId
    service: model.ServiceName
    prompt_tokens: int
    #: Limit on the output that the caller set.
    max_output_tokens: int
    #: Time by which the first token is due, on the entry's clock.
    first_token_deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Effect: starts or resumes a request at an engine."""

    request_id: model.RequestId
    #: Priority at the engine; a lower number runs first.
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: answers a waiting request with a refusal."""

    request_id: model.RequestId
    refusal: results.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Suspend:
    """Effect: cancels a request at its engine and keeps its tokens.

    A later `Start` resumes it after the tokens already delivered.
    """

    request_id: model.RequestId


#: Action that the entry must carry out.
Effect = Start | Refuse | Suspend


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """Usage of one service by one account at one entry."""

    account: model.ClientAccountId
    service: model.ServiceName
    #: Number of running requests.
    running: int
    #: Weight of the running requests, in hundredths; see `_estimates.weight`.
    running_centiweight: int
    #: Weight of the waiting and the recently refused requests, in hundredths.
    wanted_centiweight: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUsage:
    """Usage of one service, stored by columns to keep reports short."""

    service: model.ServiceName
    accounts: tuple[model.ClientAccountId, ...]
    running: tuple[int, ...]
    running_centiweight: tuple[int, ...]
    wanted_centiweight: tuple[int, ...]

    @classmethod
    def from_usages(
        cls, service: model.ServiceName, usages: Sequence[AccountUsage]
    ) -> "ServiceUsage":
        """Returns the usages of one service as columns."""
        return cls(
            service,
            tuple(usage.account for usage in usages),
            tuple(usage.running for usage in usages),
            tuple(usage.running_centiweight for usage in usages),
            tuple(usage.wanted_centiweight for usage in usages),
        )

    def usages(self) -> Iterator[AccountUsage]:
        """Yields the usage of each account."""
        columns = zip(
            self.accounts,
            self.running,
            self.running_centiweight,
            self.wanted_centiweight,
            strict=True,
        )
        for account, running, running_weight, wanted_weight in columns:
            yield AccountUsage(
                account, self.service, running, running_weight, wanted_weight
            )


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage at one entry that is reported to the other entries."""

    node_id: model.NodeId
    incarnation: int
    sequence: int
    services: tuple[ServiceUsage, ...]

    def usages(self) -> Iterator[AccountUsage]:
        """Yields the usage of each account and service."""
        for service in self.services:
            yield from service.usages()


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of the serving replicas of one model service."""

    service: model.ServiceName
    replicas: int
    #: Requests that all replicas together run concurrently.
    concurrency: int
    #: Tokens per second of all replicas together.
    tokens_per_s: int
    #: Running requests in the engines' load reports, or None if unknown.
    reported_running: int | None = None
    #: Additional requests that straggling replicas run concurrently. Shares do
    #: not include these slots; they are only lent.
    straggler_concurrency: int = 0


class AdmissionPolicy(Protocol):
    """Decides when requests start; one object per entry."""

    def configure(
        self, declarations: model.Declarations, now_ms: int
    ) -> Sequence[Effect]:
        """Applies new declarations."""

    def set_capacity(self, capacity: Capacity, now_ms: int) -> Sequence[Effect]:
        """Updates the capacity of one service when it changes."""

    def offer(self, offer: Offer, now_ms: int) -> Sequence[Effect]:
        """Starts, queues or refuses a new request."""

    def first_token(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[Effect]:
        """Records the first token of a started request."""

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> Sequence[Effect]:
        """Records `count` more tokens of a started request."""

    def ended(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[Effect]:
        """Records that a request ended or that its caller disconnected."""

    def tick(self, now_ms: int) -> Sequence[Effect]:
        """Applies changes that depend on time; called about every 20 ms."""

    def usage_report(self, now_ms: int) -> UsageReport:
        """Returns the usage report for the other entries."""

    def observe_usage(
        self, report: UsageReport, now_ms: int
    ) -> Sequence[Effect]:
        """Stores another entry's usage report."""
