"""How much each account may run at this entry."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core.admission import _account
from lagooncrank.core.admission import _remote_usage
from lagooncrank.core.admission import _shares
from lagooncrank.core.admission import _types

#: Part of the capacity that lending may fill.
LENT_FRACTION = 0.97
#: Part by which the unexplained use shrinks at each look.
UNEXPLAINED_DECAY = 0.9
#: Part of the refused weight that still counts at the next look.
UNMET_DECAY = 0.5
#: Lapsed use is taken to have grown at most so many times.
MAX_LAPSED_FACTOR = 1.5

_NOTHING = _remote_usage.RemoteUse()


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """How many entries share the capacity, and how many ever reported."""

    entries: int
    known: int

    @property
    def sharing(self) -> int:
        """Entries that divide the capacity, this one included."""
        return 1 + self.known if self.known else max(1, self.entries)

    @property
    def unknown_fraction(self) -> float:
        """Part of the entries that never reported."""
        unknown = max(0, self.entries - 1 - self.known)
        return unknown / max(1, self.entries)


class Limits:
    """Sets the limits of the accounts of one service."""

    def __init__(self) -> None:
        self.capacity = _types.Capacity(model.ServiceName(""), 0, 0, 0)
        #: Shares of all accounts that may use the service.
        self.total_share = 0
        #: Requests that run at all entries, as far as known.
        self.running = 0
        self._unexplained = 0.0
        self._usable_weight = 0.0
        self._lent_only_weight = 0.0

    @property
    def ms_per_token(self) -> float:
        """Time that a full replica takes for one token of each request."""
        tokens_per_s = max(1, self.capacity.tokens_per_s)
        return 1_000 * max(1, self.capacity.concurrency) / tokens_per_s

    def own_share(self, account: _account.Account) -> float:
        """Returns the weight that an account's share is worth everywhere."""
        return self._usable_weight * account.share / max(1, self.total_share)

    def update(
        self,
        accounts: Mapping[model.ClientAccountId, _account.Account],
        uses: _remote_usage.Uses,
        peers: Peers,
    ) -> None:
        """Sets the limits from what is known now."""
        self._measure(accounts.values(), uses.values(), peers)
        active = [
            (account, _spread(account, uses.get(name, _NOTHING)))
            for name, account in accounts.items()
            if not account.idle or name in uses
        ]
        claims = [
            _shares.Claim(account.share, spread.demand)
            for account, spread in active
        ]
        grants = _shares.grant(
            self._usable_weight,
            claims,
            self.total_share,
            LENT_FRACTION,
            self._lent_only_weight,
        )
        for (account, spread), grant in zip(active, grants, strict=True):
            self._limit(account, spread, grant, peers.sharing)

    def lapsed_factor(
        self,
        own_running: int,
        fresh: _remote_usage.Uses,
        lapsed: _remote_usage.Uses,
    ) -> float:
        """Returns the part of the lapsed use that the engines still show."""
        last_running = sum(use.running for use in lapsed.values())
        reported = self.capacity.reported_running
        if not last_running or reported is None:
            return 1.0
        known = own_running + sum(use.running for use in fresh.values())
        factor = (reported - known) / last_running
        return min(MAX_LAPSED_FACTOR, max(0.0, factor))

    def limit_idle(self, account: _account.Account, entries: int) -> None:
        """Sets the limits of an account that had no demand until now."""
        part = max(account.usual_part.value, 1 / max(1, entries))
        account.owned_limit = self.own_share(account) * part
        account.limit = account.owned_limit
        account.excess = 0.0

    def _limit(
        self,
        account: _account.Account,
        spread: _shares.Spread,
        grant: _shares.Grant,
        entries: int,
    ) -> None:
        own_share = max(grant.owned, self.own_share(account))
        account.unmet_weight *= UNMET_DECAY
        if spread.running > 0:
            account.usual_part.add(spread.own_running / spread.running)
        account.owned_limit = max(
            spread.own_limit(own_share, entries),
            own_share * account.usual_part.value,
        )
        account.limit = max(
            spread.own_limit(grant.allowed, entries),
            min(account.owned_limit, account.running_weight),
        )

    def _measure(
        self,
        accounts: Iterable[_account.Account],
        remote: Iterable[_remote_usage.RemoteUse],
        peers: Peers,
    ) -> None:
        """Learns what runs everywhere and the weight of a full service."""
        running = 0
        weight = 0.0
        for account in accounts:
            running += len(account.running)
            weight += account.running_weight
        for use in remote:
            running += use.running
            weight += use.running_weight
        self.running = running
        mean_weight = weight / running if running else 1.0
        slots = self._usable_slots(running, peers)
        mean_weight = max(1.0, mean_weight)
        self._usable_weight = slots * mean_weight
        stragglers = self.capacity.straggler_concurrency
        self._lent_only_weight = stragglers * mean_weight

    def _usable_slots(self, running: int, peers: Peers) -> float:
        """Returns the slots left by entries whose use is not known."""
        slots = self.capacity.concurrency
        if not peers.unknown_fraction:
            self._unexplained = 0.0
            return slots
        known_part = slots * (1 - peers.unknown_fraction)
        reported = self.capacity.reported_running
        if reported is None:
            return known_part
        self._unexplained = max(
            float(reported - running), self._unexplained * UNEXPLAINED_DECAY
        )
        return max(known_part, slots - self._unexplained)


def _spread(
    account: _account.Account, other: _remote_usage.RemoteUse
) -> _shares.Spread:
    return _shares.Spread(
        account.running_weight,
        account.wanted_weight,
        other.running_weight,
        other.waiting_weight,
    )
