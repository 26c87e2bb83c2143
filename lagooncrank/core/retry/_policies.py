"""Registries of retry and suspicion policies."""

import dataclasses
from typing import Protocol

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core import counting
from lagooncrank.core.retry import _types


@dataclasses.dataclass(frozen=True, slots=True)
class RetryConfig:
    """Initial configuration of a retry or suspicion policy."""

    rules: model.RetryRules = dataclasses.field(
        default_factory=model.RetryRules
    )
    counters: counting.EventCounters = dataclasses.field(
        default_factory=counting.NullEventCounters
    )


class RetryFactory(Protocol):
    """Interface of a class that the retry policy registry holds."""

    @classmethod
    def from_config(cls, config: RetryConfig) -> _types.RetryPolicy:
        """Returns a new policy object for one entry."""


class SuspicionFactory(Protocol):
    """Interface of a class that the suspicion policy registry holds."""

    @classmethod
    def from_config(cls, config: RetryConfig) -> _types.SuspicionPolicy:
        """Returns a new policy object for one entry."""


#: Retry policies by their name in the settings.
RETRY_POLICIES: registry.Registry[type[RetryFactory]] = registry.Registry(
    "retry policy"
)

#: Suspicion policies by their name in the settings.
SUSPICION_POLICIES: registry.Registry[type[SuspicionFactory]] = (
    registry.Registry("suspicion policy")
)
