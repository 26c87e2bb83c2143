"""Slopes of messages between nodes: bytes on the wire and processor time."""

from collections.abc import Iterator
import hashlib
from typing import Any

import cbor2
import msgspec

from bench import _sample_objects
from bench import _slopes
from bench import announcements
from lagooncrank import model
from lagooncrank.core import admission
from lagooncrank.core import consensus
from lagooncrank.core import membership
from lagooncrank.core import revisions
from lagooncrank.core import state
from lagooncrank.server import _entries
from lagooncrank.server.links import _handshake

_SIZES = (1, 4, 16, 64)
_REPEATS = 200
_VOTER = consensus.Voter(_sample_objects.NODE, "0123456789abcdef")


def wire_bytes(kind: str, body: Any) -> int:
    """Returns the payload size of a peer message, as the links encode it."""
    return len(cbor2.dumps([kind, model.to_builtins(body)]))


def _announcement_delta(backend_servers: int, *, renewed: bool) -> Any:
    """Returns the announcements that one entry sends to another.

    Args:
        backend_servers: Number of servers that announce to the sender.
        renewed: Whether the other entry has received all of them once and
            every server has announced again since.
    """
    table = _sample_objects.membership_table(backend_servers)
    peer = model.NodeId("node-001")
    delta = table.delta_for(peer, 0)
    if renewed:
        for index in range(backend_servers):
            table.record_announcement(
                announcements.announcement(index, 2), 1_000
            )
        delta = table.delta_for(peer, 1_010)
    return delta


@_slopes.measurement(
    "wire_renewal", "B", "renewed backend server", "exchange message"
)
def _wire_renewal() -> Iterator[_slopes.Point]:
    for size in _SIZES:
        delta = _announcement_delta(size, renewed=True)
        yield _slopes.Point(size, wire_bytes("announcements", delta))


@_slopes.measurement(
    "wire_announcement", "B", "new backend server", "exchange message"
)
def _wire_announcement() -> Iterator[_slopes.Point]:
    for size in _SIZES:
        delta = _announcement_delta(size, renewed=False)
        yield _slopes.Point(size, wire_bytes("announcements", delta))


@_slopes.measurement(
    "wire_change", "B", "client account", "poll reply with one change"
)
def _wire_change() -> Iterator[_slopes.Point]:
    for size in (100, 400, 1_600):
        command = _sample_objects.apply_command(
            _sample_objects.declarations(size)
        )
        data = state.encode_command(command)
        yield _slopes.Point(size, wire_bytes("poll-reply", _poll_reply(data)))


@_slopes.measurement(
    "wire_booking", "B", "booking", "poll reply with its two entries"
)
def _wire_booking() -> Iterator[_slopes.Point]:
    for size in _SIZES:
        commands = map(
            state.encode_command, _sample_objects.booking_commands(size)
        )
        yield _slopes.Point(
            size, wire_bytes("poll-reply", _poll_reply(*commands))
        )


@_slopes.measurement(
    "wire_booking_append", "B", "booking", "append with its two entries"
)
def _wire_booking_append() -> Iterator[_slopes.Point]:
    for size in _SIZES:
        commands = map(
            state.encode_command, _sample_objects.booking_commands(size)
        )
        append = _append_request(*commands)
        yield _slopes.Point(size, wire_bytes("append", append))


@_slopes.measurement(
    "wire_heartbeat", "B", "voter", "append without entries, and its reply"
)
def _wire_heartbeat() -> Iterator[_slopes.Point]:
    reply = consensus.AppendReply(9, _VOTER, True, 10**6, 10**6, 10**8)
    exchange_bytes = wire_bytes("append", _append_request()) + wire_bytes(
        "append-reply", reply
    )
    for size in _SIZES:
        yield _slopes.Point(size, size * exchange_bytes)


@_slopes.measurement("wire_poll", "B", "poll", "poll and empty reply")
def _wire_poll() -> Iterator[_slopes.Point]:
    poll = consensus.PollRequest(10**6, 10**8)
    exchange_bytes = wire_bytes("poll", poll) + wire_bytes(
        "poll-reply", _poll_reply()
    )
    for size in _SIZES:
        yield _slopes.Point(size, size * exchange_bytes)


@_slopes.measurement("wire_usage", "B", "client account", "usage report")
def _wire_usage() -> Iterator[_slopes.Point]:
    for size in _SIZES:
        usages = [
            admission.AccountUsage(
                _sample_objects.account(index).name,
                model.ServiceName("drafts"),
                3,
                running_centiweight=300,
                wanted_centiweight=200,
            )
            for index in range(size)
        ]
        service = admission.ServiceUsage.from_usages(
            model.ServiceName("drafts"), usages
        )
        report = admission.UsageReport(
            _sample_objects.NODE, 10**12, 10**6, (service,)
        )
        yield _slopes.Point(size, wire_bytes("usage", report))


@_slopes.measurement("wire_entry_state", "B", "peer", "entry state")
def _wire_entry_state() -> Iterator[_slopes.Point]:
    message_bytes = wire_bytes(_entries.STATE_KIND, _entries.EntryState(True))
    for size in _SIZES:
        yield _slopes.Point(size, size * message_bytes)


@_slopes.measurement("wire_revision", "B", "voter", "revision report")
def _wire_revision() -> Iterator[_slopes.Point]:
    report = revisions.RevisionReport(_sample_objects.NODE, 10**6)
    message_bytes = wire_bytes("revision-report", report)
    for size in _SIZES:
        yield _slopes.Point(size, size * message_bytes)


@_slopes.measurement(
    "http_announcement", "B", "announcement", "JSON body to one entry"
)
def _http_announcement() -> Iterator[_slopes.Point]:
    for size in _SIZES:
        bodies = [
            model.to_builtins(announcements.announcement(index, 10**6))
            for index in range(size)
        ]
        body_bytes = [len(msgspec.json.encode(body)) for body in bodies]
        yield _slopes.Point(size, sum(body_bytes))


@_slopes.measurement(
    "http_entries", "B", "entry", "JSON answer to one announcement"
)
def _http_entries() -> Iterator[_slopes.Point]:
    for size in _SIZES:
        response = {
            "code": 0,
            "entries": [f"10.200.{n % 250}.17:8100" for n in range(size)],
            "interval_ms": 1_000,
        }
        yield _slopes.Point(size, len(msgspec.json.encode(response)))


@_slopes.measurement(
    "cpu_message", "us", "message", "encode, seal, open and decode"
)
def _cpu_message() -> Iterator[_slopes.Point]:
    sender, receiver = _sessions()
    report = revisions.RevisionReport(_sample_objects.NODE, 10**6)

    def transfer() -> None:
        payload = cbor2.dumps(["revision-report", model.to_builtins(report)])
        _, body = cbor2.loads(receiver.open(sender.seal(payload)))
        model.from_builtins(body, revisions.RevisionReport)

    for size in _SIZES:
        cost = size * _slopes.cpu_us(transfer, _REPEATS)
        yield _slopes.Point(size, cost)


@_slopes.measurement(
    "cpu_renewal", "us", "renewed backend server", "tell and merge"
)
def _cpu_renewal() -> Iterator[_slopes.Point]:
    peer = model.NodeId("node-001")
    for size in _SIZES:
        initial_delta = _announcement_delta(size, renewed=False)
        data = model.to_cbor(_announcement_delta(size, renewed=True))
        receiver = membership.MembershipTable(peer, 1, model.LeaseRules())
        receiver.merge(initial_delta, 0)

        def merge(data: bytes = data, receiver: Any = receiver) -> None:
            delta = model.from_cbor(data, membership.AnnouncementDelta)
            receiver.merge(delta, 1_010)

        yield _slopes.Point(size, _slopes.cpu_us(merge, _REPEATS))


@_slopes.measurement(
    "cpu_announcement", "us", "announcement", "decode JSON and take"
)
def _cpu_announcement() -> Iterator[_slopes.Point]:
    decoder = msgspec.json.Decoder(model.Announcement)
    for size in _SIZES:
        table = _sample_objects.membership_table(size)
        bodies = [
            msgspec.json.encode(
                model.to_builtins(announcements.announcement(index, 2))
            )
            for index in range(size)
        ]

        def record_all(bodies: Any = bodies, table: Any = table) -> None:
            for body in bodies:
                table.record_announcement(decoder.decode(body), 1_000)

        yield _slopes.Point(size, _slopes.cpu_us(record_all, _REPEATS // 10))


def _append_request(*commands: bytes) -> consensus.AppendRequest:
    entries = tuple(_log_entry(n, data) for n, data in enumerate(commands))
    return consensus.AppendRequest(
        9, _VOTER, 10**6, 9, entries, 10**6, 10**6, 10**8
    )


def _poll_reply(*commands: bytes) -> consensus.PollReply:
    entries = tuple(_log_entry(n, data) for n, data in enumerate(commands))
    return consensus.PollReply(
        10**8, 40, 9, _sample_objects.NODE, 10**6, entries
    )


def _log_entry(number: int, data: bytes) -> consensus.Entry:
    proposal = consensus.ProposalId(_sample_objects.NODE, 10**12, number)
    return consensus.Entry(10**6 + number, 9, data, proposal)


def _sessions() -> tuple[_handshake.Session, _handshake.Session]:
    key = hashlib.sha256(b"bench").digest()
    dialer = _handshake.Hello.of(_sample_objects.NODE)
    acceptor = _handshake.Hello.of(model.NodeId("node-001"))
    return (
        _handshake.Session(key, dialer, acceptor, is_dialer=True),
        _handshake.Session(key, dialer, acceptor, is_dialer=False),
    )
