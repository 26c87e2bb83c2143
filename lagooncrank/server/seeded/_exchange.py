"""One request of a caller, from its arrival to its end."""

import dataclasses
from typing import Any

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _wire


@dataclasses.dataclass(slots=True)
class Exchange:
    """What is known of a request while it is served."""

    call: _wire.CallHead
    route: model.Route
    service: model.ServiceName
    arrived_ms: int
    #: When the answer must be complete.
    deadline_ms: int
    version: int
    account: model.AccountConfig | None = None
    body: bytes = b""
    #: Servers that it was sent to, whatever came of it.
    tried: list[str] = dataclasses.field(default_factory=list)
    #: Servers that may have run it.
    runs: int = 0
    #: Id of the last event that the caller was given.
    last_event_id: int | None = None
    first_event_ms: int | None = None
    #: How long it waited for a place at a group.
    queued_ms: int = 0

    @property
    def number(self) -> int:
        """Names the exchange within this process."""
        return id(self)

    @property
    def priority(self) -> int:
        """Rank of the request; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def left_ms(self, clock: clocks.Clock) -> int:
        """Returns the time left until the deadline."""
        return self.deadline_ms - clock.now_ms()

    def marks(
        self, target: dispatch.Target, clock: clocks.Clock
    ) -> _wire.SendMarks:
        """Returns what is added to the request for one target."""
        last_event_id = self.last_event_id
        if last_event_id is None:
            last_event_id = self.call.last_event_id
        return _wire.SendMarks(
            target.server_id,
            max(self.left_ms(clock), 1),
            None if self.account is None else self.account.account,
            min(max(self.priority, 0), 9),
            last_event_id,
        )

    def log_fields(self, clock: clocks.Clock) -> dict[str, Any]:
        """Returns the fields that every line on this request has."""
        return {
            "request": self.call.attempt_id,
            "route": self.route.name,
            "account": self.account.account if self.account else None,
            "service": self.service,
            "document": self.version,
            "age_ms": clock.now_ms() - self.arrived_ms,
            "queued_ms": self.queued_ms,
            "tried": self.tried,
        }
