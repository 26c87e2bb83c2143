"""Runs that break off are evidence; accused requests are refused."""

from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import crashes
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded import _attempt
from lagooncrank.server.seeded import _crash_evidence
from lagooncrank.server.seeded import _crash_guard
from lagooncrank.server.seeded import _exchange

CONTROL = model.NodeId("c1")
ENTRY = model.NodeId("n1")


class _Links:
    """Collects the batches that are sent to each node."""

    def __init__(self) -> None:
        self.sent: list[tuple[frozenset[str], crashes.EvidenceBatch]] = []

    def on_message(self, *_: object) -> None:
        pass

    def on_connected(self, _: object) -> None:
        pass

    def send_all(
        self, nodes: frozenset[str], _: str, batch: crashes.EvidenceBatch
    ) -> None:
        self.sent.append((nodes, batch))


class _View:
    def __init__(self) -> None:
        self.is_control = False
        self.entry_count = 1

    def entry_position(self, _: int) -> int:
        return 0

    def news_recipients(self) -> frozenset[model.NodeId]:
        return frozenset({CONTROL, ENTRY} if self.is_control else {CONTROL})


class _Log:
    def __init__(self) -> None:
        self.events: list[decisions.Event] = []

    def write(self, event: decisions.Event, **_: object) -> None:
        self.events.append(event)


class _Node:
    """Crash guard of a node with a manual clock."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(start_ms=100_000)
        self.view = _View()
        self.links = _Links()
        self.log = _Log()
        self.exchange = _crash_evidence.CrashEvidenceExchange(
            cast(Any, self.view),
            cast(Any, self.links),
            self.clock,
            cast(Any, self.log),
            origin="n1@1",
        )
        self.guard = _crash_guard.CrashGuard(
            self.exchange, cast(Any, self.view), self.clock
        )

    def lose(
        self,
        exchange: _exchange.Exchange,
        server: str,
        *,
        has_begun: bool = True,
        group: str = "g",
        is_disconnect: bool = True,
        pause_ms: int = 1_000,
        born_ms: int = 1,
    ) -> None:
        target = dispatch.Target(
            model.BackendServerId(server),
            "a:1",
            model.ServiceName("s"),
            model.FailureDomainId("a"),
            4,
            group,
            born_ms,
        )
        error = _attempt.AttemptFailedError(
            _attempt.FailureKind.RESPONSE_LOST, "", is_disconnect=is_disconnect
        )
        self.guard.record_lost(exchange, target, error, has_begun=has_begun)
        self.clock.advance(pause_ms)


def request(
    *parts: str, body: bytes = b"", headers: _adapter.Headers = ()
) -> _exchange.Exchange:
    request_head = _adapter.RequestHead(
        "id",
        "POST",
        "/a",
        "h",
        prompt_parts=parts,
        forwarded_headers=headers,
    )
    route = cast(model.Route, None)
    service = model.ServiceName("s")
    return _exchange.Exchange(request_head, route, service, 0, 0, 1, body=body)


@pytest.mark.parametrize(
    ("events", "has_begun", "is_disconnect", "is_accused"),
    [
        (0, True, True, True),
        (2, True, True, True),
        # A run that made progress, one that had not begun, and a time limit.
        (3, True, True, False),
        (0, False, True, False),
        (0, True, False, False),
    ],
)
def test_runs_that_break_off_as_they_begin_are_evidence(
    events: int, has_begun: bool, is_disconnect: bool, is_accused: bool
) -> None:
    node = _Node()
    for number in range(3):
        exchange = request("bad", f"r{number}", body=b"%d" % number)
        exchange.run_events = events
        node.lose(
            exchange,
            f"e{number}",
            has_begun=has_begun,
            is_disconnect=is_disconnect,
        )
    found = node.guard.find_accusation(request("bad", "new"))
    assert (found is not None) is is_accused
    assert node.guard.find_accusation(request("new", "bad")) is None
    assert (decisions.Event.CRASH_CAUSE_FOUND in node.log.events) is is_accused


# Guards against: a request that crashes plain servers is repeated without end.
def test_whole_request_that_crashes_plain_servers_is_refused() -> None:
    node = _Node()
    for number in range(3):
        crashing = request(body=b"crash")
        assert node.guard.find_accusation(crashing) is None
        node.lose(crashing, f"p{number}", has_begun=False, group="")
        bystander = request(body=b"%d" % number)
        node.lose(bystander, f"p{number}", has_begun=False, group="")
    assert node.guard.find_accusation(request(body=b"crash")) is not None
    assert node.guard.find_accusation(request(body=b"1")) is None
    assert node.guard.find_accusation(request()) is None


# Guards against: a failure of all servers blames a request that many callers
# send, as nothing is known about its sound runs of before.
def test_sound_run_before_the_first_crash_clears_a_frequent_request() -> None:
    node = _Node()
    sound = request(body=b"frequent")
    sound.begin_run(node.clock.now_ms())
    node.guard.record_sound(sound)
    for number in range(3):
        copy = request(body=b"frequent")
        node.lose(copy, f"p{number}", has_begun=False, group="", pause_ms=5)
    assert node.guard.find_accusation(request(body=b"frequent")) is None


# Guards against: copies that crash servers at the same time count as one crash,
# also if the caller's other headers change from copy to copy.
def test_copies_that_crash_plain_servers_together_are_refused() -> None:
    node = _Node()
    for number in range(3):
        copy = request(
            body=b"crash", headers=(("Idempotency-Key", f"{number}"),)
        )
        node.lose(copy, f"p{number}", has_begun=False, group="", pause_ms=5)
    assert node.guard.find_accusation(request(body=b"crash")) is not None
    assert node.guard.find_accusation(request(body=b"other")) is None


# Guards against: crashes of a server that restarts under its id count as one
# while the report of its new start is on its way to the entry.
def test_each_start_of_a_server_that_crashes_counts() -> None:
    node = _Node()
    for born_ms in (1, 2, 3):
        node.lose(request("bad", f"r{born_ms}"), "e1", born_ms=born_ms)
    assert node.guard.find_accusation(request("bad", "new")) is not None


def test_runs_that_one_start_of_a_server_loses_count_once() -> None:
    node = _Node()
    for number in range(3):
        node.lose(request("bad", f"r{number}"), "e1", born_ms=1)
    assert node.guard.find_accusation(request("bad", "new")) is None


def test_trial_run_is_admitted_once_and_its_progress_clears_the_part() -> None:
    node = _Node()
    for number in range(3):
        node.lose(request("bad", f"r{number}"), f"e{number}")
    accusation = node.guard.find_accusation(request("bad", "x"))
    assert accusation is not None
    wait_ms = node.guard.retry_after_ms(accusation)
    node.clock.advance(wait_ms)
    trial = request("bad", "trial")
    assert node.guard.find_accusation(trial) is None
    assert node.guard.find_accusation(trial) is None
    assert node.guard.find_accusation(request("bad", "x")) is not None
    trial.tried.append("e9")
    trial.begin_run(node.clock.now_ms())
    node.guard.record_sound(trial)
    assert node.guard.find_accusation(request("bad", "x")) is None
    node.exchange.publish()
    assert node.log.events[-1] is decisions.Event.CRASH_CAUSE_CLEARED


def test_trial_run_that_crashes_is_not_repeated() -> None:
    node = _Node()
    for number in range(3):
        node.lose(request("bad", f"r{number}"), f"e{number}")
    node.clock.advance(crashes.TURN_MS * 10)
    trial = request("bad", "trial")
    while node.guard.find_accusation(trial) is not None:
        node.clock.advance(100)
    trial.tried.append("e9")
    node.lose(trial, "e9")
    assert node.guard.find_accusation(trial) is not None
    assert not node.guard.may_repeat(trial)


def test_control_node_passes_on_only_what_is_new() -> None:
    entry = _Node()
    entry.lose(request("bad", "r"), "e1")
    recipients, batch = entry.links.sent[-1]
    assert recipients == {CONTROL}
    control = _Node()
    control.view.is_control = True
    control.exchange._on_evidence(model.NodeId("n2"), batch)
    assert control.links.sent == [(frozenset({CONTROL, ENTRY}), batch)]
    control.clock.advance(1_000)
    control.exchange._on_evidence(model.NodeId("n3"), batch)
    assert len(control.links.sent) == 1


def test_node_that_connects_receives_all_evidence() -> None:
    node = _Node()
    node.exchange._on_connected(CONTROL)
    assert not node.links.sent
    node.lose(request("bad", "r"), "e1")
    node.exchange._on_connected(CONTROL)
    assert len(node.links.sent) == 2
    assert len(node.links.sent[-1][1].records) == 1


def test_narrower_accusation_is_not_logged_as_cleared() -> None:
    node = _Node()
    for number in range(3):
        node.lose(request("a", "bad", f"r{number}"), f"e{number}")
    sound = request("a", "r")
    sound.begin_run(node.clock.now_ms())
    node.guard.record_sound(sound)
    node.exchange.publish()
    assert node.log.events == [decisions.Event.CRASH_CAUSE_FOUND] * 2
