"""Reports that come late, twice, out of order or from an earlier start."""

import dataclasses
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import fleet

LOST_AFTER_MS = 3_000
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


def listen(table: fleet.ServerTable, start_ms: int, end_ms: int) -> None:
    for now_ms in range(start_ms, end_ms + 1, 50):
        table.advance_clock(now_ms, is_connected=True)


def test_first_report_is_news_and_its_repeat_is_not() -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    assert table.put(report(), 0)
    assert not table.put(report(), 1)
    assert not table.put(report(sequence=2), 2)
    known = table.get(SERVER)
    assert known is not None
    assert known.last_seen_ms == 2


def test_late_report_of_an_earlier_start_is_dropped() -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    table.put(report(born_ms=200, sequence=1), 0)
    assert not table.put(report(born_ms=100, sequence=9), 1)
    known = table.get(SERVER)
    assert known is not None
    assert known.report.born_ms == 200


def test_late_report_does_not_take_an_address_back() -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    table.put(report(server_id="old", born_ms=100), 0)
    table.put(report(server_id="new", born_ms=200), 1)
    assert not table.put(report(server_id="old", born_ms=100, sequence=7), 2)
    ready = [
        k.report.server_id for k in table.ready(model.ServiceName("writers"))
    ]
    assert ready == ["new"]
    old = table.get(model.BackendServerId("old"))
    assert old is not None
    assert table.is_replaced(old)


@pytest.mark.parametrize(
    "leaving", [model.ServerState.DRAINING, model.ServerState.GONE]
)
def test_start_that_leaves_is_never_ready_again(
    leaving: model.ServerState,
) -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    table.put(report(), 0)
    table.put(report(sequence=2, state=leaving), 1)
    table.put(report(sequence=3), 2)
    assert not list(table.ready(model.ServiceName("writers")))
    table.put(report(born_ms=300), 3)
    assert list(table.ready(model.ServiceName("writers")))


def test_deregistration_of_another_start_is_ignored() -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    table.put(report(born_ms=200), 0)
    assert not table.deregister(SERVER, 100, 1)
    assert list(table.ready(model.ServiceName("writers")))
    assert table.deregister(SERVER, 200, 2)
    assert not list(table.ready(model.ServiceName("writers")))


def test_silence_counts_only_while_this_node_could_listen() -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    table.advance_clock(0, is_connected=True)
    table.put(report(), 0)
    table.advance_clock(60_000, is_connected=True)
    known = table.get(SERVER)
    assert known is not None
    assert not table.is_unreachable(known), "the node itself stood still"
    for now_ms in range(60_000, 70_000, 50):
        table.advance_clock(now_ms, is_connected=False)
    assert not table.is_unreachable(known), "the node was cut off"
    listen(table, 70_000, 73_000)
    assert table.is_unreachable(known)


def test_doubted_server_is_lost_until_its_next_report() -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    listen(table, 0, 1_000)
    table.put(report(), 1_000)
    table.mark_unreachable(SERVER)
    known = table.get(SERVER)
    assert known is not None
    assert table.is_unreachable(known)
    table.put(report(sequence=2), 1_050)
    again = table.get(SERVER)
    assert again is not None
    assert not table.is_unreachable(again)


def test_batch_without_content_renews_what_the_receiver_knows() -> None:
    here = fleet.ServerTable(LOST_AFTER_MS)
    there = fleet.ServerTable(LOST_AFTER_MS)
    here.put(report(), 0)
    first = here.pop_updates(0)
    assert first is not None
    there.merge(first, 10)
    here.put(report(sequence=2), 1_200)
    second = here.pop_updates(1_250)
    assert second is not None
    assert not second.reports
    there.merge(second, 1_260)
    known = there.get(SERVER)
    assert known is not None
    assert known.report.sequence == 2
    assert known.last_seen_ms == 1_210


STATES = strategies.sampled_from(list(model.ServerState))
REPORTS = strategies.builds(
    report,
    sequence=strategies.integers(1, 5),
    born_ms=strategies.integers(1, 3),
    state=STATES,
)


@hypothesis.given(strategies.lists(REPORTS, max_size=8))
def test_order_of_arrival_does_not_matter_to_the_newest_start(
    reports: list[model.ServerReport],
) -> None:
    """Differential: against taking the newest start after sorting."""
    table = fleet.ServerTable(LOST_AFTER_MS)
    for number, each in enumerate(reports):
        table.put(each, number)
    known = table.get(SERVER)
    if not reports:
        assert known is None
        return
    assert known is not None
    assert known.report.born_ms == max(r.born_ms for r in reports)
    newest = [r for r in reports if r.born_ms == known.report.born_ms]
    assert known.report.sequence == max(r.sequence for r in newest)


@hypothesis.given(strategies.lists(REPORTS, max_size=10))
def test_word_of_leaving_in_order_is_final(
    reports: list[model.ServerReport],
) -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    leaving: set[int] = set()
    for number, each in enumerate(reports):
        table.put(each, number)
        known = table.get(SERVER)
        assert known is not None
        if known.report.state is not model.ServerState.READY:
            leaving.add(known.report.born_ms)
        if known.report.born_ms in leaving:
            assert known.report.state is not model.ServerState.READY


def test_whole_table_carries_ages() -> None:
    table = fleet.ServerTable(LOST_AFTER_MS)
    table.put(report(), 100)
    whole = table.snapshot(350)
    assert whole.reports == (fleet.AgedReport(report(), 250, 1),)


def notice_of(
    name: str, role: model.NodeRole, **fields: Any
) -> fleet.NodeNotice:
    """Returns the notice of a node; entries are open."""
    is_entry = role is model.NodeRole.ENTRY
    given = {"incarnation": 1, "sequence": 1, **fields}
    return fleet.NodeNotice(
        model.NodeId(name),
        role,
        model.FailureDomainId("a"),
        f"{name}:80" if is_entry else "",
        is_entry,
        **given,
    )


def test_notices_are_ordered_by_start_and_number() -> None:
    nodes = fleet.NodeTable(lease_ms=1_000)
    notice = notice_of(
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


def test_control_node_that_is_cut_off_still_names_the_other_voters() -> None:
    """Entries that follow it must find the others, which have a quorum."""
    nodes = fleet.NodeTable(lease_ms=1_000)
    nodes.put(notice_of("own", model.NodeRole.CONTROL), 0)
    voters = (model.NodeId("own"), model.NodeId("b"), model.NodeId("c"))
    assert nodes.summary(500, voters).control_nodes == voters


def test_renewal_of_content_that_was_missed_makes_nothing_fresh() -> None:
    """A node that was cut off holds what a server said before.

    It took a head for one that had left its group, as a later sign of life
    made the old word look new.
    """
    sender = fleet.ServerTable(LOST_AFTER_MS)
    receiver = fleet.ServerTable(LOST_AFTER_MS)
    old = report(sequence=1)
    changed = dataclasses.replace(
        report(sequence=2), staged=("large",), loaded=("large",)
    )
    sender.put(old, 0)
    receiver.merge(sender.snapshot(0), 0)
    sender.pop_updates(0)
    sender.put(changed, 100)
    sender.pop_updates(100)  # Lost on the way.
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
