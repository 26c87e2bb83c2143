"""Demand of the client accounts, and capacity of the replicas."""

from collections.abc import Iterator
import dataclasses
import math

from lagooncrank.questionnaire import _answers

#: Fraction of the capacity that peak traffic may use.
USABLE_FRACTION = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Peak demand for one model, in tokens per second."""

    small: float
    large: float

    @property
    def total(self) -> float:
        """Demand of all client accounts."""
        return self.small + self.large


def demand_for(answers: _answers.Answers, model: str) -> Demand:
    """Returns the peak demand of all client accounts for one model."""
    small = large = 0.0
    for account in answers.accounts:
        tokens_per_s = sum(
            requested_tokens_per_s(traffic)
            for traffic in account.traffic
            if traffic.model == model
        )
        if account.size is _answers.AccountSize.SMALL:
            small += tokens_per_s
        else:
            large += tokens_per_s
    return Demand(small, large)


def requested_tokens_per_s(traffic: _answers.TrafficAnswers) -> float:
    """Returns the peak tokens per second of one account for one model."""
    return traffic.requests_per_s * traffic.answer_tokens


def usable_tokens_per_s(model: _answers.ModelAnswers, replicas: int) -> float:
    """Returns the capacity of a number of replicas, less the reserve."""
    return replicas * model.tokens_per_s_per_replica * USABLE_FRACTION


def required_replicas(model: _answers.ModelAnswers, tokens_per_s: float) -> int:
    """Returns how many replicas a demand of `tokens_per_s` needs."""
    return math.ceil(tokens_per_s / usable_tokens_per_s(model, 1))


def required_fraction(
    answers: _answers.Answers, account: _answers.AccountAnswers
) -> float:
    """Returns the fraction of the guaranteed capacity that an account needs.

    The guaranteed capacity of a model is that of its replicas_floor. If the
    account uses several models, the largest fraction counts.
    """
    return max(_fractions(answers, account), default=0.0)


def _fractions(
    answers: _answers.Answers, account: _answers.AccountAnswers
) -> Iterator[float]:
    for model in answers.models:
        capacity = usable_tokens_per_s(model, model.replicas_floor)
        requested = sum(
            requested_tokens_per_s(traffic)
            for traffic in account.traffic
            if traffic.model == model.name
        )
        if capacity > 0:
            yield requested / capacity
