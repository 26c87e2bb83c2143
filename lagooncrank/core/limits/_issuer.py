"""Issues permits so that all entries together respect a server's limit."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import math
import random
from typing import Final

from lagooncrank import model
from lagooncrank.core.limits import _types

#: Lowest rate: a server that takes no requests gets one in this time, which
#: shows when its limit is withdrawn.
PROBE_INTERVAL_MS: Final = 5_000
#: Time whose permits accumulate while no entry requests any.
BURST_MS: Final = 250
MS_PER_S: Final = 1_000
#: Fraction of its share that an entry issues for itself: the permits of entries
#: that do not know of each other may come at the same moment.
OWN_SHARE_FACTOR: Final = 0.75
#: A bucket that was not used for this long is removed.
BUCKET_TTL_MS: Final = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedPermits:
    """Permits, or a waiting time, for one entry."""

    entry: model.NodeId
    grant: _types.PermitGrant


@dataclasses.dataclass(slots=True)
class _Waiting:
    count: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Permits for one process that accumulate at its rate."""

    permits: float
    updated_ms: int
    #: Requests that stand, by entry, in the order of their arrival.
    waiting: dict[model.NodeId, _Waiting] = dataclasses.field(
        default_factory=dict
    )


class PermitIssuer:
    """Issues the permits of some processes.

    Entries that wait are served in turns: each has one request at a time.
    """

    def __init__(self) -> None:
        #: Fraction of each limit that this issuer may issue.
        self._share = 1.0
        #: Whether other issuers issue the rest at the same time.
        self._is_one_of_many = False
        self._buckets: dict[_types.Process, _Bucket] = {}

    @classmethod
    def for_one_of(cls, entry_count: int) -> "PermitIssuer":
        """Creates the issuer of an entry that issues for itself only.

        Args:
            entry_count: Number of entries that may do so at the same time.
        """
        issuer = cls()
        issuer._is_one_of_many = True
        issuer.set_entry_count(entry_count)
        return issuer

    def set_entry_count(self, entry_count: int) -> None:
        """Sets the number of entries that share each limit."""
        self._share = OWN_SHARE_FACTOR / max(entry_count, 1)

    def request(
        self,
        entry: model.NodeId,
        process: _types.Process,
        rate_per_s: float,
        count: int,
        wait_ms: int,
        now_ms: int,
    ) -> Iterator[IssuedPermits]:
        """Records an entry's request, and yields what is available.

        A request that is not met at once stands for a time; `collect` yields
        its permits later. A further request of the entry replaces it.

        Yields:
            Permits of this and of other entries; for this one a waiting time if
            there are none.
        """
        bucket = self._refill(process, rate_per_s, now_ms)
        previous = bucket.waiting.get(entry)
        if previous is None:
            bucket.waiting[entry] = _Waiting(count, now_ms + wait_ms)
        else:
            # The entry keeps its turn.
            previous.count = count
            previous.until_ms = now_ms + wait_ms
        yield from self._issue(process, bucket, rate_per_s, now_ms)
        if entry in bucket.waiting:
            estimate_ms = self._wait_ms(bucket, entry, rate_per_s)
            grant = _types.PermitGrant(*process, 0, estimate_ms)
            yield IssuedPermits(entry, grant)

    def request_all(
        self,
        entry: model.NodeId,
        batch: _types.PermitRequests,
        rates_per_s: Mapping[_types.Process, float],
        now_ms: int,
    ) -> Iterator[IssuedPermits]:
        """Records an entry's requests, and yields what is available.

        Args:
            entry: The entry.
            batch: Its requests.
            rates_per_s: Rates of all limited processes; requests for others
                are ignored.
            now_ms: Monotonic time in milliseconds.
        """
        for request in batch.requests:
            process = request.limit.process
            rate_per_s = rates_per_s.get(process)
            if rate_per_s is not None:
                yield from self.request(
                    entry,
                    process,
                    rate_per_s,
                    request.count,
                    request.wait_ms,
                    now_ms,
                )

    def collect(
        self, rates_per_s: Mapping[_types.Process, float], now_ms: int
    ) -> Iterator[IssuedPermits]:
        """Yields the permits that have become available since.

        Args:
            rates_per_s: Rates of all limited processes. Requests for others
                are dropped, as they need no permits any more.
            now_ms: Monotonic time in milliseconds.
        """
        for process, bucket in self._buckets.items():
            if not bucket.waiting:
                continue
            rate_per_s = rates_per_s.get(process)
            if rate_per_s is None:
                bucket.waiting.clear()
                continue
            self._refill(process, rate_per_s, now_ms)
            yield from self._issue(process, bucket, rate_per_s, now_ms)

    @property
    def has_waiting(self) -> bool:
        """Whether any request for permits stands."""
        return any(bucket.waiting for bucket in self._buckets.values())

    def evict_unused(self, now_ms: int) -> None:
        """Removes the buckets of processes that no entry sends to."""
        unused = [
            process
            for process, bucket in self._buckets.items()
            if now_ms - bucket.updated_ms >= BUCKET_TTL_MS
        ]
        for process in unused:
            del self._buckets[process]

    def _rate_per_ms(self, rate_per_s: float) -> float:
        rate_per_ms = max(rate_per_s / MS_PER_S, 1 / PROBE_INTERVAL_MS)
        return rate_per_ms * self._share

    def _refill(
        self, process: _types.Process, rate_per_s: float, now_ms: int
    ) -> _Bucket:
        bucket = self._buckets.get(process)
        if bucket is None:
            # Many issuers must not all begin with a permit.
            permits = random.random() if self._is_one_of_many else 1.0
            bucket = self._buckets[process] = _Bucket(permits, now_ms)
            return bucket
        rate_per_ms = self._rate_per_ms(rate_per_s)
        elapsed_ms = max(now_ms - bucket.updated_ms, 0)
        capacity = 1.0 + rate_per_ms * BURST_MS
        permits = bucket.permits + elapsed_ms * rate_per_ms
        if self._is_one_of_many and permits > capacity:
            # Nor may they all keep one: a permit is for its moment.
            permits %= 1.0
        bucket.permits = min(permits, capacity)
        bucket.updated_ms = max(bucket.updated_ms, now_ms)
        return bucket

    def _issue(
        self,
        process: _types.Process,
        bucket: _Bucket,
        rate_per_s: float,
        now_ms: int,
    ) -> Iterator[IssuedPermits]:
        for entry, waiting in list(bucket.waiting.items()):
            if waiting.until_ms < now_ms:
                del bucket.waiting[entry]
                continue
            count = min(waiting.count, math.floor(bucket.permits))
            if count < 1:
                continue
            bucket.permits -= count
            del bucket.waiting[entry]
            wait_ms = self._ms_until_next(bucket, rate_per_s)
            grant = _types.PermitGrant(*process, count, wait_ms)
            yield IssuedPermits(entry, grant)

    def _wait_ms(
        self, bucket: _Bucket, entry: model.NodeId, rate_per_s: float
    ) -> int:
        """Returns the estimated time until an entry that waits is served."""
        ahead = 0
        for other, waiting in bucket.waiting.items():
            if other == entry:
                break
            ahead += waiting.count
        return self._ms_until_next(bucket, rate_per_s, ahead)

    def _ms_until_next(
        self, bucket: _Bucket, rate_per_s: float, ahead: int = 0
    ) -> int:
        missing = max(1.0 + ahead - bucket.permits, 0.0)
        return math.ceil(missing / self._rate_per_ms(rate_per_s))
