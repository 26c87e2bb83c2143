"""Check that servers that ask for rest get nothing more for that long."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Final

#: Time after a refusal until which requests may still come.
SLACK_S: Final = 0.5
#: Requests that may come later.
ALLOWED: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Rest:
    start_s: float
    end_s: float


class Rests:
    """Records the rests that servers ask entries for, and what they get."""

    def __init__(self) -> None:
        #: Rests by server and entry, oldest first.
        self._rests: dict[tuple[str, str], list[_Rest]] = (
            collections.defaultdict(list)
        )
        #: Requests that came in a rest, by server and entry.
        self._late: dict[tuple[str, str], list[tuple[str, float]]] = (
            collections.defaultdict(list)
        )

    def record_refusal(
        self, server_id: str, entry: str, rest_s: float, now_s: float
    ) -> None:
        """Records that a server has asked an entry for some rest."""
        rest = _Rest(now_s, now_s + rest_s)
        self._rests[server_id, entry].append(rest)

    def record_arrival(
        self, server_id: str, entry: str, attempt_id: str, now_s: float
    ) -> None:
        """Records a request that a server has read."""
        rests = self._rests.get((server_id, entry), ())
        if any(r.start_s + SLACK_S < now_s < r.end_s for r in rests):
            self._late[server_id, entry].append((attempt_id, now_s))

    def violations(
        self, is_in_touch: Callable[[str, float], bool]
    ) -> Iterator[str]:
        """Yields the servers that got more than a few requests in a rest.

        Args:
            is_in_touch: Whether the entry that took a request was in touch
                when it arrived.
        """
        for (server_id, entry), arrivals in self._late.items():
            late = [a for a, at_s in arrivals if is_in_touch(a, at_s)]
            if len(late) > ALLOWED:
                yield (
                    f"BUDGET: {server_id} got {len(late)} requests from "
                    f"{entry} in a rest that it had asked for: {late[:10]}"
                )

    def summary(self) -> str:
        """Returns how much there was to judge."""
        rests = sum(map(len, self._rests.values()))
        late = sum(map(len, self._late.values()))
        return f"{rests} refusals that ask for rest, {late} requests in one"
