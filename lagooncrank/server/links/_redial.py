"""When a peer that is not linked is dialled again."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RedialTiming:
    """Waits between two attempts to reach a peer."""

    min_ms: int = 100
    max_ms: int = 1_000
    #: Longest wait of a node without any link: it can do nothing else.
    max_alone_ms: int = 200
    #: A link that held for longer was sound; waits begin anew after it.
    lasting_ms: int = 1_200


class Redial:
    """Waits of one peer, twice as long after each failure."""

    def __init__(self, timing: RedialTiming) -> None:
        self._timing = timing
        self._wait_ms = timing.min_ms

    def wait_ms(self, lasted_ms: int, *, has_links: bool) -> int:
        """Returns how long to wait after an attempt has ended.

        Args:
            lasted_ms: Time from the attempt to the end of the link, if any.
            has_links: Whether this node is linked with any other peer.
        """
        timing = self._timing
        self._wait_ms = min(self._wait_ms * 2, timing.max_ms)
        if lasted_ms > timing.lasting_ms:
            self._wait_ms = timing.min_ms
        if has_links:
            return self._wait_ms
        return min(self._wait_ms, timing.max_alone_ms)
