"""Allocates shares to client accounts by their peak traffic."""

import dataclasses
import math

from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _demand

#: Shares that represent the whole guaranteed capacity.
TOTAL_SHARES = 1_000
#: Factor by which a small account's share exceeds its peak traffic.
SMALL_HEADROOM = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of one client account, and the reason for it."""

    share: int
    reason: str


def allocate_shares(answers: _answers.Answers) -> dict[str, Share]:
    """Returns the share of each client account by its name.

    A small account gets `SMALL_HEADROOM` times what its peak traffic needs of
    the guaranteed capacity. Large accounts divide the rest in proportion to
    what they need.
    """
    required_fractions = {
        a.name: _demand.required_fraction(answers, a) for a in answers.accounts
    }
    small = {
        account.name: _small_share(required_fractions[account.name])
        for account in answers.accounts
        if account.size is _answers.AccountSize.SMALL
    }
    remaining_shares = max(
        TOTAL_SHARES - sum(s.share for s in small.values()), 0
    )
    large_need = sum(
        need for name, need in required_fractions.items() if name not in small
    )
    return {
        name: small.get(name)
        or _large_share(need, large_need, remaining_shares)
        for name, need in required_fractions.items()
    }


def _small_share(need: float) -> Share:
    share = max(math.ceil(need * SMALL_HEADROOM * TOTAL_SHARES), 1)
    return Share(
        share,
        f"small: its busiest hour needs {need:.1%} of the replicas that are "
        f"always there, and {SMALL_HEADROOM:g} times that in thousandths is "
        f"{share}",
    )


def _large_share(
    need: float, large_need: float, remaining_shares: int
) -> Share:
    fraction = need / large_need if large_need > 0 else 0.0
    share = max(math.floor(fraction * remaining_shares), 1)
    return Share(
        share,
        f"large: {fraction:.1%} of what large accounts ask for, so the same "
        f"part of the {remaining_shares} thousandths that small accounts leave",
    )
