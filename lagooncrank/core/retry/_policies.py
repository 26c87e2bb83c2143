"""Registries of retry and suspicion policies, and what one is built from."""

import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core import counting
from lagooncrank.core.retry import _types


@dataclasses.dataclass(frozen=True, slots=True)
class RetryConfig:
    """What a retry or suspicion policy starts from."""

    rules: model.RetryRules = dataclasses.field(
        default_factory=model.RetryRules
    )
    counts: counting.EventCounters = dataclasses.field(
        default_factory=counting.NullEventCounters
    )


class RetryFactory(Protocol):
    """Class of a retry policy."""

    @classmethod
    def from_config(cls, config: RetryConfig) -> _types.RetryPolicy:
        """Returns a new policy object for one entry."""


class SuspicionFactory(Protocol):
    """Class of a suspicion policy."""

    @classmethod
    def from_config(cls, config: RetryConfig) -> _types.SuspicionPolicy:
        """Returns a new policy object for one entry."""


#: Every retry policy by the name that settings use.
RETRY_POLICIES: registry.Registry[type[RetryFactory]] = registry.Registry(
    "retry policy"
)

#: Every suspicion policy by the name that settings use.
SUSPICION_POLICIES: registry.Registry[type[SuspicionFactory]] = (
    registry.Registry("suspicion policy")
)
