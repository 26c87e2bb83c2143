"""Division of a service's capacity between accounts and entries."""

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Demand of one account for one service, over all entries."""

    #: Declared share of the account.
    share: float
    #: Weight of the running and the waiting requests.
    demand: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Weight that one account may run, over all entries."""

    #: Part of the account's own share that it needs.
    owned: float
    #: `owned` plus the weight lent by other accounts.
    allowed: float


def water_fill(capacity: float, claims: Sequence[Claim]) -> list[float]:
    """Divides capacity in proportion to shares, up to each claim's demand.

    Weight that a claim does not need is divided between the others (max-min
    fairness).

    Args:
        capacity: Weight to divide.
        claims: One claim per account.

    Returns:
        The weight for each account, in the order of `claims`.

    >>> water_fill(90.0, [Claim(1, 10.0), Claim(1, 80.0), Claim(1, 80.0)])
    [10.0, 40.0, 40.0]
    """
    allocated = [0.0] * len(claims)
    by_demand = sorted(
        (index for index, claim in enumerate(claims) if claim.demand > 0),
        key=lambda index: claims[index].demand / claims[index].share,
    )
    remaining_share = sum(claims[index].share for index in by_demand)
    remaining_weight = max(0.0, capacity)
    for index in by_demand:
        claim = claims[index]
        allocated[index] = min(
            claim.demand, remaining_weight * claim.share / remaining_share
        )
        remaining_weight -= allocated[index]
        remaining_share -= claim.share
    return allocated


def grant(
    capacity: float,
    claims: Sequence[Claim],
    total_share: float,
    lendable_fraction: float,
    lent_only: float = 0.0,
) -> list[Grant]:
    """Grants each account its own share and lends unused weight to others.

    Args:
        capacity: Weight that all replicas of the service run concurrently.
        claims: One claim per account with demand.
        total_share: Sum of the shares of all accounts, including idle ones.
        lendable_fraction: Fraction of the capacity up to which weight is lent;
            the rest is reserved for accounts that start to use their share.
        lent_only: Additional weight that no account owns.

    Returns:
        The grant for each account, in the order of `claims`.
    """
    owned = [
        min(claim.demand, capacity * claim.share / total_share)
        for claim in claims
    ]
    unmet_claims = [
        Claim(claim.share, claim.demand - owned_weight)
        for claim, owned_weight in zip(claims, owned, strict=True)
    ]
    lendable = capacity * lendable_fraction + lent_only - sum(owned)
    lent = water_fill(lendable, unmet_claims)
    return [
        Grant(owned_weight, owned_weight + lent_weight)
        for owned_weight, lent_weight in zip(owned, lent, strict=True)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageDistribution:
    """Usage of one account at this entry and at all other entries."""

    local_running: float
    local_waiting: float
    remote_running: float
    remote_waiting: float

    @property
    def running(self) -> float:
        """Weight of the requests that run at all entries."""
        return self.local_running + self.remote_running

    @property
    def demand(self) -> float:
        """Weight of the requests that run or wait at all entries."""
        return self.running + self.local_waiting + self.remote_waiting

    def local_limit(self, allowed: float, entries: int) -> float:
        """Returns the weight that the account may run at this entry.

        Headroom is divided in proportion to the waiting weight, so that all
        entries together start about as much as the headroom allows. If the
        account runs too much, every entry reduces it in proportion to the
        weight that it runs.

        Args:
            allowed: Weight that the account may run at all entries.
            entries: Number of entries that share the capacity.
        """
        headroom = allowed - self.running
        if headroom < 0:
            return self.local_running * allowed / self.running
        return self.local_running + headroom * self._local_fraction(entries)

    def _local_fraction(self, entries: int) -> float:
        """Returns the fraction of the headroom that this entry may use."""
        if self.remote_running + self.remote_waiting <= 0:
            return 1.0
        waiting = self.local_waiting + self.remote_waiting
        if waiting > 0:
            return max(self.local_waiting / waiting, 1 / entries)
        return max(self.local_running / self.running, 1 / entries)
