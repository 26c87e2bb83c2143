"""Backoff between attempts to reconnect to a peer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReconnectTiming:
    """Waits between two connection attempts, in milliseconds."""

    min_wait_ms: int = 100
    max_wait_ms: int = 1_000
    #: Longest wait while the node has no link at all: it cannot do any work
    #: before it has one.
    max_isolated_wait_ms: int = 200
    #: A link that lasted longer than this was stable; the wait is reset to
    #: `min_wait_ms` after it.
    stable_link_ms: int = 1_200


class ReconnectBackoff:
    """Exponential backoff for one peer: each failure doubles the wait."""

    def __init__(self, timing: ReconnectTiming) -> None:
        self._timing = timing
        self._wait_ms = timing.min_wait_ms

    def wait_ms(self, link_lifetime_ms: int, *, has_links: bool) -> int:
        """Returns the wait before the next attempt.

        Args:
            link_lifetime_ms: Time from the start of the previous attempt to
                its failure or to the end of the link that it made.
            has_links: Whether this node has a link to any other peer.
        """
        timing = self._timing
        self._wait_ms = min(self._wait_ms * 2, timing.max_wait_ms)
        if link_lifetime_ms > timing.stable_link_ms:
            self._wait_ms = timing.min_wait_ms
        if has_links:
            return self._wait_ms
        return min(self._wait_ms, timing.max_isolated_wait_ms)
