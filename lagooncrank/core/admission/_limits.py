"""Limits on what each client account may run at this entry."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lagooncrank import model
from lagooncrank.core.admission import _account
from lagooncrank.core.admission import _remote_usage
from lagooncrank.core.admission import _shares
from lagooncrank.core.admission import _types

#: Fraction of the capacity that may be in use for capacity to be lent.
LENDABLE_FRACTION = 0.97
#: Decay of the unattributed requests with each update of the limits.
UNATTRIBUTED_DECAY = 0.9
#: Decay of an account's refused weight with each update of the limits.
UNMET_DECAY = 0.5
#: Largest factor by which stale usage is assumed to have grown.
MAX_STALE_FACTOR = 1.5

_NO_USAGE = _remote_usage.RemoteAccountUsage()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCounts:
    """Numbers of entries that share the capacity of a service."""

    #: Configured entries, including this one.
    entries: int
    #: Other entries that have reported their usage.
    reporting: int

    @property
    def sharing(self) -> int:
        """Entries that divide the capacity, including this one."""
        return 1 + self.reporting if self.reporting else max(1, self.entries)

    @property
    def unreported_fraction(self) -> float:
        """Fraction of the entries that never reported."""
        unreported = max(0, self.entries - 1 - self.reporting)
        return unreported / max(1, self.entries)


class ServiceLimits:
    """Sets the limits of the accounts that use one service."""

    def __init__(self) -> None:
        self.capacity = _types.Capacity(model.ServiceName(""), 0, 0, 0)
        #: Sum of the shares of all accounts that may use the service.
        self.total_share = 0
        #: Requests running at all entries, as far as they are reported.
        self.running = 0
        #: Requests that engines report as running and no entry accounts for.
        self._unattributed = 0.0
        self._usable_weight = 0.0
        self._lent_only_weight = 0.0

    @property
    def ms_per_token(self) -> float:
        """Time per token of each request when the replicas are full."""
        tokens_per_s = max(1, self.capacity.tokens_per_s)
        return 1_000 * max(1, self.capacity.concurrency) / tokens_per_s

    def share_weight(self, account: _account.Account) -> float:
        """Returns the weight that an account owns over all entries."""
        return self._usable_weight * account.share / max(1, self.total_share)

    def update(
        self,
        accounts: Mapping[model.ClientAccountId, _account.Account],
        remote_usages: _remote_usage.UsageByAccount,
        entry_counts: EntryCounts,
    ) -> None:
        """Updates the limits from the local usage and the remote usages."""
        self._update_usable_weight(
            accounts.values(), remote_usages.values(), entry_counts
        )
        active = [
            (
                account,
                _distribution(account, remote_usages.get(name, _NO_USAGE)),
            )
            for name, account in accounts.items()
            if not account.is_idle or name in remote_usages
        ]
        claims = [
            _shares.Claim(account.share, distribution.demand)
            for account, distribution in active
        ]
        grants = _shares.grant(
            self._usable_weight,
            claims,
            self.total_share,
            LENDABLE_FRACTION,
            self._lent_only_weight,
        )
        for (account, distribution), grant in zip(active, grants, strict=True):
            self._limit_account(
                account, distribution, grant, entry_counts.sharing
            )

    def stale_factor(
        self,
        local_running: int,
        fresh: _remote_usage.UsageByAccount,
        stale: _remote_usage.UsageByAccount,
    ) -> float:
        """Returns the fraction of the stale usage that engines still report."""
        stale_running = sum(usage.running for usage in stale.values())
        reported = self.capacity.reported_running
        if not stale_running or reported is None:
            return 1.0
        attributed = local_running + sum(
            usage.running for usage in fresh.values()
        )
        factor = (reported - attributed) / stale_running
        return min(MAX_STALE_FACTOR, max(0.0, factor))

    def limit_idle_account(
        self, account: _account.Account, entries: int
    ) -> None:
        """Sets the limits of an account that had no demand until now."""
        local_fraction = max(account.local_fraction.value, 1 / max(1, entries))
        account.owned_limit = self.share_weight(account) * local_fraction
        account.limit = account.owned_limit
        account.excess = 0.0

    def _limit_account(
        self,
        account: _account.Account,
        distribution: _shares.UsageDistribution,
        grant: _shares.Grant,
        entries: int,
    ) -> None:
        owned_weight = max(grant.owned, self.share_weight(account))
        account.unmet_weight *= UNMET_DECAY
        if distribution.running > 0:
            account.local_fraction.add(
                distribution.local_running / distribution.running
            )
        account.owned_limit = max(
            distribution.local_limit(owned_weight, entries),
            owned_weight * account.local_fraction.value,
        )
        account.limit = max(
            distribution.local_limit(grant.allowed, entries),
            min(account.owned_limit, account.running_weight),
        )

    def _update_usable_weight(
        self,
        accounts: Iterable[_account.Account],
        remote_usages: Iterable[_remote_usage.RemoteAccountUsage],
        entry_counts: EntryCounts,
    ) -> None:
        """Updates the running requests and the weight of the whole capacity."""
        running = 0
        weight = 0.0
        for account in accounts:
            running += len(account.running)
            weight += account.running_weight
        for usage in remote_usages:
            running += usage.running
            weight += usage.running_weight
        self.running = running
        mean_weight = weight / running if running else 1.0
        slots = self._usable_slots(running, entry_counts)
        mean_weight = max(1.0, mean_weight)
        self._usable_weight = slots * mean_weight
        straggler_slots = self.capacity.straggler_concurrency
        self._lent_only_weight = straggler_slots * mean_weight

    def _usable_slots(self, running: int, entry_counts: EntryCounts) -> float:
        """Returns the slots not used by entries that never reported."""
        slots = self.capacity.concurrency
        if not entry_counts.unreported_fraction:
            self._unattributed = 0.0
            return slots
        reporting_slots = slots * (1 - entry_counts.unreported_fraction)
        reported = self.capacity.reported_running
        if reported is None:
            return reporting_slots
        self._unattributed = max(
            float(reported - running), self._unattributed * UNATTRIBUTED_DECAY
        )
        return max(reporting_slots, slots - self._unattributed)


def _distribution(
    account: _account.Account, remote_usage: _remote_usage.RemoteAccountUsage
) -> _shares.UsageDistribution:
    return _shares.UsageDistribution(
        account.running_weight,
        account.wanted_weight,
        remote_usage.running_weight,
        remote_usage.waiting_weight,
    )
