"""What admission is told and what it decides."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import results


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A request that asks to be started."""

    request_id: model.RequestId
    account: model.ClientAccountId
    service: model.ServiceName
    prompt_tokens: int
    #: Limit that the caller set on the answer.
    max_output_tokens: int
    #: When the request must have its first token, on the entry's clock.
    first_token_deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start the request now, with this priority at the engine."""

    request_id: model.RequestId
    #: Lower runs first.
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the request with a refusal now; it did not run."""

    request_id: model.RequestId
    refusal: results.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Suspend:
    """Cancel the request at its engine and keep its tokens.

    A later `Start` resumes it from the tokens already delivered.
    """

    request_id: model.RequestId


#: What an entry must do.
Effect = Start | Refuse | Suspend


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """What one account uses of one service at one entry."""

    account: model.ClientAccountId
    service: model.ServiceName
    #: Requests started and not ended.
    running: int
    #: Weight of the running requests, in hundredths; see `_estimates.weight`.
    running_centiweight: int
    #: Weight that waits or was refused lately, in hundredths.
    wanted_centiweight: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUsage:
    """Use of one service, a column for each figure to keep reports short."""

    service: model.ServiceName
    accounts: tuple[model.ClientAccountId, ...]
    running: tuple[int, ...]
    running_centiweight: tuple[int, ...]
    wanted_centiweight: tuple[int, ...]

    @classmethod
    def from_usages(
        cls, service: model.ServiceName, usages: Sequence[AccountUsage]
    ) -> "ServiceUsage":
        """Returns the columns of the usages of one service."""
        return cls(
            service,
            tuple(usage.account for usage in usages),
            tuple(usage.running for usage in usages),
            tuple(usage.running_centiweight for usage in usages),
            tuple(usage.wanted_centiweight for usage in usages),
        )

    def usages(self) -> Iterator[AccountUsage]:
        """Yields the use of each account."""
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
    """What one entry tells the others of its accounts."""

    node_id: model.NodeId
    incarnation: int
    sequence: int
    services: tuple[ServiceUsage, ...]

    def usages(self) -> Iterator[AccountUsage]:
        """Yields the use of each account and service."""
        for service in self.services:
            yield from service.usages()


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What the serving replicas of one model service can take."""

    service: model.ServiceName
    replicas: int
    #: Requests that all replicas together run at once.
    concurrency: int
    #: Tokens per second of all replicas together.
    tokens_per_s: int
    #: Requests running according to the engines' load reports, or None.
    reported_running: int | None = None
    #: Further requests that stragglers run at once; only lent work uses them.
    straggler_concurrency: int = 0


class AdmissionPolicy(Protocol):
    """Decides when requests start; one object serves one entry."""

    def configure(
        self, declarations: model.Declarations, now_ms: int
    ) -> Sequence[Effect]:
        """Takes new declarations into use."""

    def set_capacity(self, capacity: Capacity, now_ms: int) -> Sequence[Effect]:
        """Takes the capacity of one service, whenever it changes."""

    def offer(self, offer: Offer, now_ms: int) -> Sequence[Effect]:
        """Takes a new request: starts, queues or refuses it."""

    def first_token(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[Effect]:
        """Notes the first token of a started request."""

    def tokens(
        self, request_id: model.RequestId, count: int, now_ms: int
    ) -> Sequence[Effect]:
        """Notes `count` further tokens of a started request."""

    def ended(
        self, request_id: model.RequestId, now_ms: int
    ) -> Sequence[Effect]:
        """Notes that a request ended or its caller went away."""

    def tick(self, now_ms: int) -> Sequence[Effect]:
        """Decides what time alone changes; called every 20 ms or so."""

    def usage_report(self, now_ms: int) -> UsageReport:
        """Returns what the other entries need to know."""

    def observe_usage(
        self, report: UsageReport, now_ms: int
    ) -> Sequence[Effect]:
        """Takes another entry's report."""
