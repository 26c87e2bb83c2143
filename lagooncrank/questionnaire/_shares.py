"""Turns traffic into the shares that client accounts are given."""

import dataclasses
import math

from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _demand

#: Shares that stand for the whole capacity that is always there.
TOTAL_SHARES = 1_000
#: How far above its busiest hour a small account's share reaches.
SMALL_HEADROOM = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of one client account, and why."""

    share: int
    reason: str


def shares(answers: _answers.Answers) -> dict[str, Share]:
    """Returns the share of each client account by its name.

    Small accounts get what their busiest hour needs and half as much again,
    out of the replicas that are always there. Large accounts divide the rest
    by what they ask for.
    """
    needs = {
        a.name: _demand.required_fraction(answers, a) for a in answers.accounts
    }
    small = {
        account.name: _small_share(needs[account.name])
        for account in answers.accounts
        if account.size is _answers.AccountSize.SMALL
    }
    rest = max(TOTAL_SHARES - sum(s.share for s in small.values()), 0)
    large_need = sum(need for name, need in needs.items() if name not in small)
    return {
        name: small.get(name) or _large_share(need, large_need, rest)
        for name, need in needs.items()
    }


def _small_share(need: float) -> Share:
    share = max(math.ceil(need * SMALL_HEADROOM * TOTAL_SHARES), 1)
    return Share(
        share,
        f"small: its busiest hour needs {need:.1%} of the replicas that are "
        f"always there, and {SMALL_HEADROOM:g} times that in thousandths is "
        f"{share}",
    )


def _large_share(need: float, large_need: float, rest: int) -> Share:
    part = need / large_need if large_need > 0 else 0.0
    share = max(math.floor(part * rest), 1)
    return Share(
        share,
        f"large: {part:.1%} of what large accounts ask for, so the same part "
        f"of the {rest} thousandths that small accounts leave",
    )
