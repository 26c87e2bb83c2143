"""Checks of the retry budget, from arrivals at backend servers."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRules:
    """What the operator allows."""

    window_s: float = 10.0
    ratio: float = 0.2
    extra: int = 100

    def allowed(self, requests: int) -> float:
        """Returns how many repeats a window with some requests may have."""
        return self.ratio * requests + self.extra


#: Rules that the load of the soak reaches.
BINDING_RULES: Final = BudgetRules(extra=8)


class Arrivals:
    """Records requests and their arrivals by service."""

    def __init__(self) -> None:
        self._requests_s: dict[str, list[float]] = collections.defaultdict(list)
        self._repeats_s: dict[str, list[float]] = collections.defaultdict(list)
        self._arrived: set[tuple[str, str]] = set()

    def record_request(self, service: str, now_s: float) -> None:
        """Records a request that a caller sends; times never decrease."""
        self._requests_s[service].append(now_s)

    def record_arrival(
        self, service: str, attempt_id: str, now_s: float
    ) -> None:
        """Records that a request reached a server, whether it runs or not."""
        key = (service, attempt_id)
        if key in self._arrived:
            self._repeats_s[service].append(now_s)
        self._arrived.add(key)

    def violations(self, rules: BudgetRules) -> Iterator[str]:
        """Yields the worst window of each service that exceeds its budget."""
        for service, repeats_s in self._repeats_s.items():
            excess, text = max(
                (self._excess(service, end_s, rules) for end_s in repeats_s),
                default=(0.0, ""),
            )
            if excess > 0:
                yield text

    def _excess(
        self, service: str, end_s: float, rules: BudgetRules
    ) -> tuple[float, str]:
        """Returns by how much the window up to a repeat exceeds the budget."""
        repeats, requests = self._window(service, end_s, rules)
        allowed = rules.allowed(requests)
        text = (
            f"BUDGET: {service} got {repeats} repeats in {rules.window_s} s up "
            f"to {end_s:.1f}, {allowed:.1f} allowed with {requests} requests"
        )
        return repeats - allowed, text

    def _window(
        self, service: str, end_s: float, rules: BudgetRules
    ) -> tuple[int, int]:
        """Returns the repeats of the window up to a time, and its requests."""
        window_s = rules.window_s
        repeats = _count(self._repeats_s[service], end_s, window_s)
        requests = max(
            _count(self._requests_s[service], end_s - shift_s, window_s)
            for shift_s in (0.0, window_s / 2, window_s)
        )
        return repeats, requests

    def fullest(self, rules: BudgetRules) -> float:
        """Returns the highest part of what is allowed that any window had."""
        windows = (
            self._window(service, end_s, rules)
            for service, repeats_s in self._repeats_s.items()
            for end_s in repeats_s
        )
        return max(
            (
                repeats / rules.allowed(requests)
                for repeats, requests in windows
            ),
            default=0.0,
        )

    def repeats(self) -> dict[str, int]:
        """Returns the number of repeats of each service."""
        return {s: len(times) for s, times in self._repeats_s.items()}


def _count(times_s: list[float], end_s: float, window_s: float) -> int:
    first = bisect.bisect_left(times_s, end_s - window_s)
    return bisect.bisect_right(times_s, end_s) - first
