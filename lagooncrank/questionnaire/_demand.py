"""What client accounts ask of each model, and what its replicas give."""

from collections.abc import Iterator
import dataclasses
import math

from lagooncrank.questionnaire import _answers

#: Part of the capacity that the busiest hour may use.
USABLE_FRACTION = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Tokens per second that one model is asked for at its busiest."""

    small: float
    large: float

    @property
    def total(self) -> float:
        """Tokens per second of all client accounts."""
        return self.small + self.large


def demand_for(answers: _answers.Answers, model: str) -> Demand:
    """Returns what the client accounts ask of one model."""
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
    """Returns the tokens per second of one line of traffic."""
    return traffic.requests_per_s * traffic.answer_tokens


def usable_tokens_per_s(model: _answers.ModelAnswers, replicas: int) -> float:
    """Returns what a number of replicas gives with some room to spare."""
    return replicas * model.tokens_per_s_per_replica * USABLE_FRACTION


def required_replicas(model: _answers.ModelAnswers, tokens_per_s: float) -> int:
    """Returns how many replicas carry `tokens_per_s`."""
    return math.ceil(tokens_per_s / usable_tokens_per_s(model, 1))


def required_fraction(
    answers: _answers.Answers, account: _answers.AccountAnswers
) -> float:
    """Returns the account's part of the capacity that is always there.

    That is the capacity of the models at their floors; of several models the
    most used one counts.
    """
    return max(_fractions(answers, account), default=0.0)


def _fractions(
    answers: _answers.Answers, account: _answers.AccountAnswers
) -> Iterator[float]:
    for model in answers.models:
        capacity = usable_tokens_per_s(model, model.replicas_floor)
        asked = sum(
            requested_tokens_per_s(traffic)
            for traffic in account.traffic
            if traffic.model == model.name
        )
        if capacity > 0:
            yield asked / capacity
