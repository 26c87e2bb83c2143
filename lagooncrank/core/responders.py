"""Which processes of a server may have sent a response."""

import dataclasses
from typing import Final

from lagooncrank import model

#: A process of a server: its id and start time.
Process = tuple[model.BackendServerId, int]

#: How far the clocks of a server and of this node may differ.
CLOCK_TOLERANCE_MS: Final = 250


@dataclasses.dataclass(frozen=True, slots=True)
class Responder:
    """The processes that may have sent a response.

    A request is meant for the newest process that its sender has a report of.
    A response does not tell its process, and a server that has started again
    responds before its first report arrives.

    >>> server = model.BackendServerId("s1")
    >>> responder = Responder.at_time((server, 1_000), 9_000)
    >>> [responder.may_be((server, born)) for born in (1_000, 9_000, 9_300)]
    [True, True, False]
    """

    #: Process that the request was meant for.
    process: Process
    #: No process that started later, by its own clock, has sent the response.
    latest_start_ms: int

    @classmethod
    def at_time(cls, process: Process, unix_ms: int) -> "Responder":
        """Returns the responder of a response that arrived at a time.

        Args:
            process: Process that the request was meant for.
            unix_ms: The time, rather too late than too early.
        """
        return cls(process, unix_ms + CLOCK_TOLERANCE_MS)

    def may_be(self, process: Process) -> bool:
        """Returns whether a process may have sent the response."""
        if process == self.process:
            return True
        server_id, born_ms = process
        return server_id == self.process[0] and born_ms <= self.latest_start_ms
