"""One request of a caller, from its arrival to its end."""

import asyncio
import dataclasses
import hashlib
from typing import Any
from typing import Final

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.core import responders
from lagooncrank.server import _peer_presence
from lagooncrank.server.seeded import _adapter

CONTENT_DIGEST_BYTES: Final = 8


class CallerLeftError(Exception):
    """The caller has closed its connection; nobody waits for a response."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """State of a caller's request while it is served."""

    request_head: _adapter.RequestHead
    route: model.Route
    service: model.ServiceName
    arrived_ms: int
    #: When the response must be complete.
    deadline_ms: int
    #: Version of the document that the request was admitted under.
    document_version: int
    account: model.AccountConfig | None = None
    body: bytes = b""
    #: Connection of the caller, or of the entry that delegated the request.
    connection: asyncio.BaseTransport | None = None
    #: Backend servers of all attempts, whatever their outcome.
    tried: list[str] = dataclasses.field(default_factory=list)
    #: Attempts in which a backend server may have run the request.
    possible_runs: int = 0
    #: Id of the last event that was passed to the caller.
    last_event_id: int | None = None
    first_event_ms: int | None = None
    newest_event_ms: int | None = None
    #: Longest time between two events that were passed to the caller.
    longest_gap_ms: int = 0
    #: When the head of the newest run's response arrived.
    run_began_ms: int = 0
    #: Events of the newest run.
    run_events: int = 0
    #: Whether the newest run made progress.
    is_run_sound: bool = False
    #: Whether this is a trial run of a request that may crash its server.
    is_trial: bool = False
    #: Whether the retry budget has been charged for the next attempt.
    has_reserved_retry: bool = False
    #: Backend server at which a slot is reserved for the next attempt; empty
    #: without one.
    reserved_server: str = ""
    #: Whether the request was sent to a backend server or to another entry.
    was_sent: bool = False
    #: Whether a backend server may have received the request.
    has_arrived: bool = False
    #: Entry that delegated the request to this one; None for a caller's own.
    delegated_by: model.NodeId | None = None
    #: Delegation addresses of the entries that it was delegated to.
    delegates: list[str] = dataclasses.field(default_factory=list)
    #: Attempts in which a backend server may have run the request, according
    #: to the entry that it was delegated to last.
    delegated_runs: int = 0
    #: Token of the notices of further runs between the two entries of a
    #: delegated request; empty if the one that delegates reads none.
    notice_token: str = ""
    #: Process whose response to the delegated request says that it leaves.
    leaving_server: responders.Process | None = None
    #: Why the last run that was given up was taken for silent; empty if none.
    given_up_for: str = ""
    #: For how long this entry itself stood still in the silence that this run
    #: was given up for; its server may have sent meanwhile.
    missed_ms: int = 0
    #: Whether the last run was given up for a silence of its server: the next
    #: one goes to a server that is not silent as well.
    needs_live_server: bool = False
    #: `ObservedClock.missed_ms` when the silence began.
    missed_before_ms: int = 0
    #: Time that the request waited for a slot of a group.
    queued_ms: int = 0

    @property
    def number(self) -> int:
        """Identifies the exchange within this process."""
        return id(self)

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def is_resumable(self) -> bool:
        """Whether another run can go on after the events passed to the caller.

        A run that is told of no event starts with the first one again.
        """
        return self.first_event_ms is None or self.last_event_id is not None

    def check_caller(self) -> None:
        """Checks that somebody still waits for the response.

        Raises:
            CallerLeftError: The caller has closed its connection.
        """
        if _peer_presence.has_left(self.connection):
            raise CallerLeftError

    def begin_run(self, now_ms: int) -> None:
        """Records that a backend server began to respond."""
        self.run_began_ms = now_ms
        self.run_events = 0
        self.is_run_sound = False
        self.given_up_for = ""
        self.missed_ms = 0
        self.needs_live_server = False

    def begin_silence(self, missed_ms: int) -> None:
        """Records that a server was heard, or asked, just now.

        Args:
            missed_ms: Time so far that this entry stood still.
        """
        self.missed_before_ms = missed_ms

    def was_missed(self, missed_ms: int) -> bool:
        """Returns whether this entry stood still since the silence began.

        Args:
            missed_ms: Time so far that this entry stood still.
        """
        return missed_ms > self.missed_before_ms

    def give_up(self, reason: str, missed_ms: int) -> None:
        """Records that the run is taken for silent.

        Args:
            reason: Why.
            missed_ms: Time so far that this entry stood still.
        """
        self.given_up_for = reason
        self.needs_live_server = True
        self.missed_ms = missed_ms - self.missed_before_ms

    def record_lost_run(self) -> None:
        """Counts an attempt that may have run and yielded no response."""
        self.has_arrived = True
        self.possible_runs = max(self.possible_runs + 1, self.delegated_runs)

    def content_digest(self) -> str:
        """Returns a digest of what a repeat of the request has in common."""
        account = "" if self.account is None else self.account.account
        head = f"{self.request_head.method}\0{self.request_head.target}\0"
        digest = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
        digest.update(f"{head}{account}\0".encode())
        digest.update(self.body)
        return digest.hexdigest()

    def record_event(self, now_ms: int) -> None:
        """Records the time of an event that is passed to the caller."""
        self.run_events += 1
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        if self.newest_event_ms is not None:
            gap_ms = now_ms - self.newest_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.newest_event_ms = now_ms

    def remaining_ms(self, clock: clocks.Clock) -> int:
        """Returns the time until the deadline, negative after it."""
        return self.deadline_ms - clock.now_ms()

    def forwarding_metadata(
        self, target: dispatch.Target, clock: clocks.Clock
    ) -> _adapter.ForwardingMetadata:
        """Returns the metadata that is sent with the request to a target."""
        last_event_id = self.last_event_id
        if last_event_id is None:
            last_event_id = self.request_head.last_event_id
        return _adapter.ForwardingMetadata(
            target.server_id,
            max(self.remaining_ms(clock), 1),
            None if self.account is None else self.account.account,
            min(max(self.priority, 0), 9),
            last_event_id,
        )

    def log_fields(self, clock: clocks.Clock) -> dict[str, Any]:
        """Returns the fields common to all log lines about this request."""
        fields: dict[str, Any] = {
            "request": self.request_head.attempt_id,
            "route": self.route.name,
            "account": self.account.account if self.account else None,
            "service": self.service,
            "document": self.document_version,
            "age_ms": clock.now_ms() - self.arrived_ms,
            "queued_ms": self.queued_ms,
            "tried": self.tried,
        }
        if self.delegates:
            fields["delegates"] = self.delegates
        if self.delegated_by is not None:
            fields["delegated_by"] = self.delegated_by
        return fields
