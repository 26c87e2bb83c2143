"""Requests in flight at each target, the own ones and those of others."""

from collections.abc import Mapping


class LoadBook:
    """Counts requests in flight by backend server."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._others: dict[str, int] = {}
        self._told: dict[str, int] = {}

    def begin(self, server_id: str) -> None:
        """Counts a request that is sent."""
        self._own[server_id] = self._own.get(server_id, 0) + 1

    def end(self, server_id: str) -> None:
        """Counts a request that has ended."""
        left = self._own.get(server_id, 0) - 1
        if left > 0:
            self._own[server_id] = left
        else:
            self._own.pop(server_id, None)

    def tell(self) -> dict[str, int]:
        """Returns this entry's requests in flight, to be told to others."""
        self._told = dict(self._own)
        return self._told

    def set_total(self, in_flight: Mapping[str, int]) -> None:
        """Takes the sum over all entries, from a moment ago.

        The own part of that sum is taken to be what this entry told last.
        """
        self._others = {
            server_id: max(count - self._told.get(server_id, 0), 0)
            for server_id, count in in_flight.items()
        }

    def of(self, server_id: str) -> int:
        """Returns the requests in flight at a server, as far as known."""
        return self._own.get(server_id, 0) + self._others.get(server_id, 0)
