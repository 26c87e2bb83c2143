"""Division of capacity between accounts and between entries."""

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What one account asks of one service, over all entries."""

    #: Stated share.
    share: float
    #: Weight that runs or waits.
    demand: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What one account may run, over all entries."""

    #: Part of its own share that it uses.
    owned: float
    #: `owned` and what others lend it.
    allowed: float


def water_fill(capacity: float, claims: Sequence[Claim]) -> list[float]:
    """Divides capacity by share; what one does not need goes to the others.

    Args:
        capacity: Weight to divide.
        claims: One claim for each account.

    Returns:
        The weight of each account, in the order of `claims`.

    >>> water_fill(90.0, [Claim(1, 10.0), Claim(1, 80.0), Claim(1, 80.0)])
    [10.0, 40.0, 40.0]
    """
    given = [0.0] * len(claims)
    by_need = sorted(
        (index for index, claim in enumerate(claims) if claim.demand > 0),
        key=lambda index: claims[index].demand / claims[index].share,
    )
    shares = sum(claims[index].share for index in by_need)
    left = max(0.0, capacity)
    for index in by_need:
        claim = claims[index]
        given[index] = min(claim.demand, left * claim.share / shares)
        left -= given[index]
        shares -= claim.share
    return given


def grant(
    capacity: float,
    claims: Sequence[Claim],
    total_share: float,
    lent_fraction: float,
    lent_only: float = 0.0,
) -> list[Grant]:
    """Gives each account its own share and lends what is left.

    Args:
        capacity: Weight that all replicas of the service run at once.
        claims: One claim for each account with demand.
        total_share: Sum of the shares of all accounts, idle ones included.
        lent_fraction: Part of the capacity that lending may fill; the rest
            stays free for accounts that come back to their share.
        lent_only: Further weight that nobody owns.

    Returns:
        The grant of each account, in the order of `claims`.
    """
    owned = [
        min(claim.demand, capacity * claim.share / total_share)
        for claim in claims
    ]
    rests = [
        Claim(claim.share, claim.demand - own)
        for claim, own in zip(claims, owned, strict=True)
    ]
    lendable = capacity * lent_fraction + lent_only - sum(owned)
    lent = water_fill(lendable, rests)
    return [
        Grant(own, own + more) for own, more in zip(owned, lent, strict=True)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """How the use of one account is spread over the entries."""

    own_running: float
    own_waiting: float
    other_running: float
    other_waiting: float

    @property
    def running(self) -> float:
        """Weight that runs through all entries."""
        return self.own_running + self.other_running

    @property
    def demand(self) -> float:
        """Weight that runs or waits at all entries."""
        return self.running + self.own_waiting + self.other_waiting

    def own_limit(self, allowed: float, entries: int) -> float:
        """Returns this entry's part of what an account may run.

        Room is divided by what waits, so that all entries together start
        about as much as there is room for; too much running is taken back in
        proportion to what runs.
        """
        room = allowed - self.running
        if room < 0:
            return self.own_running * allowed / self.running
        return self.own_running + room * self._fraction(entries)

    def _fraction(self, entries: int) -> float:
        if self.other_running + self.other_waiting <= 0:
            return 1.0
        waiting = self.own_waiting + self.other_waiting
        if waiting > 0:
            return max(self.own_waiting / waiting, 1 / entries)
        return max(self.own_running / self.running, 1 / entries)
