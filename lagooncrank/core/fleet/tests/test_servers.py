"""Reports that arrive late, twice, out of order or from an earlier process."""

import dataclasses
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import fleet

UNREACHABLE_AFTER_MS = 3_000
SERVER = model.BackendServerId("s1")


def report(
    sequence: int = 1,
    born_ms: int = 100,
    state: model.ServerState = model.ServerState.READY,
    server_id: str = "s1",
    address: str = "10.0.0.1:80",
) -> model.ServerReport:
    return model.ServerReport(
        server_id=model.BackendServerId(server_id),
        born_ms=born_ms,
        sequence=sequence,
        service=model.ServiceName("writers"),
        address=address,
        failure_domain=model.FailureDomainId("a"),
        state=state,
        slots=4,
    )


def advance_clock(table: fleet.ServerTable, start_ms: int, end_ms: int) -> None:
    for now_ms in range(start_ms, end_ms + 1, 50):
        table.advance_clock(now_ms, now_ms, is_connected=True)


def test_first_report_is_new_and_its_renewal_is_not() -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    assert table.put(report(), 0)
    assert not table.put(report(), 1)
    assert not table.put(report(sequence=2), 2)
    record = table.get(SERVER)
    assert record is not None
    assert record.last_seen_ms == 2


def test_late_report_of_an_earlier_process_is_dropped() -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    table.put(report(born_ms=200, sequence=1), 0)
    assert not table.put(report(born_ms=100, sequence=9), 1)
    record = table.get(SERVER)
    assert record is not None
    assert record.report.born_ms == 200


def test_late_report_does_not_reclaim_an_address() -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    table.put(report(server_id="old", born_ms=100), 0)
    table.put(report(server_id="new", born_ms=200), 1)
    assert not table.put(report(server_id="old", born_ms=100, sequence=7), 2)
    ready = [
        r.report.server_id for r in table.ready(model.ServiceName("writers"))
    ]
    assert ready == ["new"]
    old = table.get(model.BackendServerId("old"))
    assert old is not None
    assert table.is_replaced(old)


@pytest.mark.parametrize(
    "leaving", [model.ServerState.DRAINING, model.ServerState.GONE]
)
def test_process_that_leaves_is_never_ready_again(
    leaving: model.ServerState,
) -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    table.put(report(), 0)
    table.put(report(sequence=2, state=leaving), 1)
    table.put(report(sequence=3), 2)
    assert not list(table.ready(model.ServiceName("writers")))
    table.put(report(born_ms=300), 3)
    assert list(table.ready(model.ServiceName("writers")))


def test_deregistration_of_another_process_is_ignored() -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    table.put(report(born_ms=200), 0)
    assert not table.deregister(SERVER, 100, 1)
    assert list(table.ready(model.ServiceName("writers")))
    assert table.deregister(SERVER, 200, 2)
    assert not list(table.ready(model.ServiceName("writers")))


def test_only_connected_time_makes_a_server_unreachable() -> None:
    clock = clocks.ManualClock()
    observed_clock = observed_time.ObservedClock(clock)
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)

    def advance(duration_ms: int, *, is_connected: bool) -> None:
        for _ in range(0, duration_ms, 50):
            clock.advance(50)
            observed_clock.tick()
            table.advance_clock(
                clock.now_ms(),
                observed_clock.now_ms(),
                is_connected=is_connected,
            )

    table.advance_clock(0, 0, is_connected=True)
    table.put(report(), 0)
    clock.advance(60_000)
    table.advance_clock(
        clock.now_ms(), observed_clock.now_ms(), is_connected=True
    )
    record = table.get(SERVER)
    assert record is not None
    assert not table.is_unreachable(record), "the node itself was paused"
    observed_clock.tick()
    advance(10_000, is_connected=False)
    assert not table.is_unreachable(record), "the node was partitioned"
    advance(UNREACHABLE_AFTER_MS, is_connected=True)
    assert table.is_unreachable(record)


def test_marked_server_is_unreachable_until_its_next_report() -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    advance_clock(table, 0, 1_000)
    table.put(report(), 1_000)
    table.mark_unreachable(SERVER)
    record = table.get(SERVER)
    assert record is not None
    assert table.is_unreachable(record)
    table.put(report(sequence=2), 1_050)
    renewed = table.get(SERVER)
    assert renewed is not None
    assert not table.is_unreachable(renewed)


def test_renewal_updates_a_report_that_the_receiver_has() -> None:
    sender = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    receiver = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    sender.put(report(), 0)
    first = sender.pop_updates(0)
    assert first is not None
    receiver.merge(first, 10)
    sender.put(report(sequence=2), 1_200)
    second = sender.pop_updates(1_250)
    assert second is not None
    assert not second.reports
    receiver.merge(second, 1_260)
    record = receiver.get(SERVER)
    assert record is not None
    assert record.report.sequence == 2
    assert record.last_seen_ms == 1_210


STATES = strategies.sampled_from(list(model.ServerState))
REPORTS = strategies.builds(
    report,
    sequence=strategies.integers(1, 5),
    born_ms=strategies.integers(1, 3),
    state=STATES,
)


@hypothesis.given(strategies.lists(REPORTS, max_size=8))
def test_newest_process_wins_in_any_order_of_arrival(
    reports: list[model.ServerReport],
) -> None:
    """Compares the table with the maximum over all reports."""
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    for number, each in enumerate(reports):
        table.put(each, number)
    record = table.get(SERVER)
    if not reports:
        assert record is None
        return
    assert record is not None
    assert record.report.born_ms == max(r.born_ms for r in reports)
    newest = [r for r in reports if r.born_ms == record.report.born_ms]
    assert record.report.sequence == max(r.sequence for r in newest)


@hypothesis.given(strategies.lists(REPORTS, max_size=10))
def test_leaving_process_stays_leaving(
    reports: list[model.ServerReport],
) -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    leaving: set[int] = set()
    for number, each in enumerate(reports):
        table.put(each, number)
        record = table.get(SERVER)
        assert record is not None
        if record.report.state is not model.ServerState.READY:
            leaving.add(record.report.born_ms)
        if record.report.born_ms in leaving:
            assert record.report.state is not model.ServerState.READY


def test_snapshot_contains_ages() -> None:
    table = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    table.put(report(), 100)
    snapshot = table.snapshot(350)
    assert snapshot.reports == (fleet.AgedReport(report(), 250, 1),)


def notice_from(
    name: str, role: model.NodeRole, **fields: Any
) -> fleet.NodeNotice:
    """Returns the notice of a node; entries are open."""
    is_entry = role is model.NodeRole.ENTRY
    all_fields = {"incarnation": 1, "sequence": 1, **fields}
    return fleet.NodeNotice(
        model.NodeId(name),
        role,
        model.FailureDomainId("a"),
        f"{name}:80" if is_entry else "",
        is_entry,
        **all_fields,
    )


def test_notices_are_ordered_by_incarnation_and_sequence() -> None:
    nodes = fleet.NodeTable(lease_ms=1_000)
    notice = notice_from(
        "n1",
        model.NodeRole.ENTRY,
        incarnation=2,
        sequence=5,
        in_flight={"s1": 3},
        stalled=("s1",),
    )
    assert nodes.put(notice, 0)
    older = dataclasses.replace(notice, incarnation=1, sequence=9)
    assert not nodes.put(older, 1)
    summary = nodes.summary(500, ())
    assert [entry.address for entry in summary.open_entries] == ["n1:80"]
    assert summary.in_flight == {"s1": 3}
    assert summary.stalled == ("s1",)
    assert not nodes.open_entries(1_000)


def test_servers_are_suspected_while_the_notice_is_valid() -> None:
    nodes = fleet.NodeTable(lease_ms=1_000)
    entry = notice_from("n1", model.NodeRole.ENTRY, suspected=("s1",))
    nodes.put(entry, 0)
    assert nodes.suspected(999) == {"s1"}
    assert not nodes.stalled(999)
    assert not nodes.suspected(1_000)


def test_partitioned_control_node_reports_all_voters() -> None:
    """Entries that follow it need the other voters, which have a quorum."""
    nodes = fleet.NodeTable(lease_ms=1_000)
    nodes.put(notice_from("own", model.NodeRole.CONTROL), 0)
    voters = (model.NodeId("own"), model.NodeId("b"), model.NodeId("c"))
    assert nodes.summary(500, voters).control_nodes == voters


def test_renewal_of_missed_content_is_not_applied() -> None:
    """A partitioned node may have missed a change of a server's content.

    A renewal then made the outdated content look current, and the node took
    the head of a group for one that had left the group.
    """
    sender = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    receiver = fleet.ServerTable(UNREACHABLE_AFTER_MS)
    old = report(sequence=1)
    changed = dataclasses.replace(
        report(sequence=2), staged=("large",), loaded=("large",)
    )
    sender.put(old, 0)
    receiver.merge(sender.snapshot(0), 0)
    sender.pop_updates(0)
    sender.put(changed, 100)
    sender.pop_updates(100)  # Lost in transit.
    sender.put(dataclasses.replace(changed, sequence=3), 200)
    renewal = sender.pop_updates(200)
    assert renewal is not None
    receiver.merge(renewal, 200)
    held = receiver.get(old.server_id)
    assert held is not None
    assert held.report == old
    wanted = receiver.pop_wanted()
    assert wanted is not None
    receiver.merge(sender.reports_for(wanted, 210), 210)
    held = receiver.get(old.server_id)
    assert held is not None
    assert held.report.staged == ("large",)
    assert receiver.pop_wanted() is None
