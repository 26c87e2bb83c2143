"""Servers whose own reports are older than one of another writer."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.fleet.tests import test_servers
from lagooncrank.core.groups import _evidence

SERVER = test_servers.SERVER
UNREACHABLE_AFTER_MS = 3_300
REPORT_INTERVAL_MS = 1_200
TICK_MS = 50
HUGE = 2**62
#: Number of the last report that is not delayed.
LAST_IN_TIME = 28
HUGE_VERSION = fleet.ReportVersion(100, HUGE)


def new_table() -> fleet.ServerTable:
    return fleet.ServerTable(UNREACHABLE_AFTER_MS)


class Fleet:
    """One server that reports, and a table that hears it."""

    def __init__(self) -> None:
        self.table = new_table()
        self.now_ms = 0
        self.sequence = 0
        #: Moments at which the server was not ready.
        self.not_ready_ms: list[int] = []

    def pass_time(self, until_ms: int) -> None:
        """Lets the server report at its interval."""
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self.table.advance_clock(
                self.now_ms, self.now_ms, is_connected=True
            )
            if self.now_ms % REPORT_INTERVAL_MS == 0:
                self.sequence += 1
                self.table.put(
                    test_servers.report(sequence=self.sequence), self.now_ms
                )
            if not self.is_ready:
                self.not_ready_ms.append(self.now_ms)

    def forge(self, sequence: int, born_ms: int = 100) -> None:
        """Receives a copy of the server's report with other numbers."""
        forged = test_servers.report(sequence=sequence, born_ms=born_ms)
        self.table.put(forged, self.now_ms)

    @property
    def is_ready(self) -> bool:
        """Whether the server may receive requests."""
        record = self.table.get(SERVER)
        return record is not None and self.table.is_ready(record)

    @property
    def recorded(self) -> tuple[int, int]:
        """Start and sequence number of the record."""
        record = self.table.get(SERVER)
        assert record is not None
        return record.report.born_ms, record.report.sequence


# Guards against: one report of another writer with a higher number hid the
# server's own, so that it counted as lost as long as it ran.
@pytest.mark.parametrize("offset_ms", range(0, REPORT_INTERVAL_MS, 150))
def test_server_hidden_by_a_huge_number_stays_ready(offset_ms: int) -> None:
    simulated = Fleet()
    simulated.pass_time(2 * REPORT_INTERVAL_MS + offset_ms)
    simulated.forge(HUGE)
    simulated.not_ready_ms.clear()
    simulated.pass_time(10 * REPORT_INTERVAL_MS)
    assert simulated.not_ready_ms == []
    assert simulated.recorded == (100, 10)


def test_last_reports_of_a_lost_server_may_come_late() -> None:
    table = new_table()
    table.put(test_servers.report(sequence=9), 0)
    for now_ms in range(0, 5 * REPORT_INTERVAL_MS, TICK_MS):
        table.advance_clock(now_ms, now_ms, is_connected=True)
        if now_ms in {3 * REPORT_INTERVAL_MS, 4 * REPORT_INTERVAL_MS}:
            number = now_ms // REPORT_INTERVAL_MS
            table.put(test_servers.report(sequence=number), now_ms)
    record = table.get(SERVER)
    assert record is not None
    assert table.is_unreachable(record)


# Guards against: the same with a number that the server might reach, or with a
# later start.
@pytest.mark.parametrize(
    ("ahead", "born_ms"),
    [
        pytest.param(fleet.MAX_LATE_REPORTS, 100, id="a-minute-ahead"),
        pytest.param(1, 101, id="later-start"),
        pytest.param(HUGE, 101, id="later-start-and-huge"),
    ],
)
def test_hidden_server_is_ready_again_soon(ahead: int, born_ms: int) -> None:
    simulated = Fleet()
    simulated.pass_time(2 * REPORT_INTERVAL_MS)
    simulated.forge(2 + ahead, born_ms)
    simulated.pass_time(10 * REPORT_INTERVAL_MS)
    assert simulated.is_ready
    assert simulated.recorded == (100, 10)
    assert len(simulated.not_ready_ms) * TICK_MS <= UNREACHABLE_AFTER_MS


def test_server_is_hidden_by_each_new_number_only_once() -> None:
    simulated = Fleet()
    for round_ in range(1, 5):
        simulated.forge(HUGE + round_)
        simulated.pass_time(round_ * 5 * REPORT_INTERVAL_MS)
        assert simulated.recorded == (100, simulated.sequence)
        # The same report again, as from a node that still holds it.
        simulated.forge(HUGE + round_)
        assert simulated.recorded == (100, simulated.sequence)


@pytest.mark.parametrize(
    "late",
    [
        pytest.param([(1, 0), (2, 0), (3, 50)], id="together"),
        pytest.param([(3, 0), (2, 900), (1, 1_800)], id="backwards"),
        pytest.param([(3, 0), (3, 900), (3, 1_800)], id="copies"),
        pytest.param([(1, 0), (2, 900), (3, 1_800)], id="few-behind"),
    ],
)
def test_late_reports_do_not_hide_newer_ones(
    late: list[tuple[int, int]],
) -> None:
    table = new_table()
    table.advance_clock(0, 0, is_connected=True)
    table.put(test_servers.report(sequence=9), 0)
    for sequence, arrives_ms in late:
        for now_ms in range(0, arrives_ms + 1, TICK_MS):
            table.advance_clock(now_ms, now_ms, is_connected=True)
        table.put(test_servers.report(sequence=sequence), arrives_ms)
    record = table.get(SERVER)
    assert record is not None
    assert record.report.sequence == 9


@hypothesis.given(strategies.integers(0, 2**32))
def test_delayed_reports_never_turn_a_record_back(seed: int) -> None:
    chance = random.Random(seed)
    arrivals = []
    for number in range(1, LAST_IN_TIME + 2):
        # Each second report is in time, the others are seconds late.
        delay_ms = chance.randrange(5_000) if number % 2 else 0
        arrivals.append((number * REPORT_INTERVAL_MS + delay_ms, number))
    table = new_table()
    newest = 0
    now_ms = 0
    for arrives_ms, number in sorted(arrivals):
        while now_ms < arrives_ms:
            now_ms += TICK_MS
            table.advance_clock(now_ms, now_ms, is_connected=True)
        table.put(test_servers.report(sequence=number), now_ms)
        newest = max(newest, number)
        record = table.get(SERVER)
        assert record is not None
        assert record.report.sequence == newest
        if number == LAST_IN_TIME:
            return


@pytest.mark.parametrize(
    "leaving", [model.ServerState.DRAINING, model.ServerState.GONE]
)
def test_late_reports_do_not_undo_that_a_later_process_left(
    leaving: model.ServerState,
) -> None:
    table = new_table()
    table.put(test_servers.report(born_ms=200, state=leaving), 0)
    for number in range(1, 5):
        now_ms = number * REPORT_INTERVAL_MS
        for tick_ms in range(now_ms - REPORT_INTERVAL_MS, now_ms, TICK_MS):
            table.advance_clock(tick_ms, tick_ms, is_connected=True)
        table.put(test_servers.report(born_ms=100, sequence=number), now_ms)
    record = table.get(SERVER)
    assert record is not None
    assert record.report.state is leaving


def hidden_fleet() -> Fleet:
    """Returns a table that has found its record to be of another writer."""
    simulated = Fleet()
    simulated.pass_time(2 * REPORT_INTERVAL_MS)
    simulated.forge(HUGE)
    simulated.pass_time(4 * REPORT_INTERVAL_MS)
    assert simulated.recorded == (100, 4)
    return simulated


# Guards against: other nodes, which had the report of another writer passed on
# to them, kept to it after the first had found out.
def test_other_nodes_learn_that_a_server_was_hidden() -> None:
    simulated = hidden_fleet()
    for found in (
        simulated.table.pop_updates(simulated.now_ms),
        simulated.table.snapshot(simulated.now_ms),
    ):
        assert found is not None
        other = new_table()
        other.put(test_servers.report(sequence=HUGE), 0, HUGE)
        other.merge(found, simulated.now_ms)
        record = other.get(SERVER)
        assert record is not None
        assert record.report.sequence == 4


def test_node_that_missed_it_is_told_with_each_report() -> None:
    simulated = hidden_fleet()
    simulated.table.pop_updates(simulated.now_ms)
    simulated.pass_time(6 * REPORT_INTERVAL_MS)
    found = simulated.table.pop_updates(simulated.now_ms)
    assert found is not None
    other = new_table()
    other.put(test_servers.report(sequence=HUGE), 0, HUGE)
    other.merge(found, simulated.now_ms)
    record = other.get(SERVER)
    assert record is not None
    assert record.report.sequence == 6


def test_what_was_found_out_takes_no_newer_report_back() -> None:
    simulated = hidden_fleet()
    found = simulated.table.snapshot(simulated.now_ms)
    other = new_table()
    other.put(test_servers.report(sequence=7), 0)
    other.merge(found, simulated.now_ms)
    # A third node still has the report of the other writer.
    other.put(test_servers.report(sequence=HUGE), 0, HUGE)
    record = other.get(SERVER)
    assert record is not None
    assert record.report.sequence == 7


def test_updates_of_older_builds_are_read() -> None:
    aged = fleet.AgedReport(test_servers.report(), 5, 1)
    plain = model.to_builtins(fleet.ReportBatch((aged,)))
    del plain["reports"][0]["supersedes"]
    assert model.from_builtins(plain, fleet.ReportBatch).reports == (aged,)


# Guards against: a membership that was based on the report of another writer
# outlasted all that the engine itself reported later.
@pytest.mark.parametrize(
    ("based_on", "is_current"), [(HUGE, True), (HUGE + 1, False), (3, True)]
)
def test_membership_based_on_another_writer_follows_the_engine(
    based_on: int, is_current: bool
) -> None:
    simulated = hidden_fleet()
    assert simulated.table.superseded(SERVER) == HUGE_VERSION
    member = model.GroupMember(SERVER, 100, "10.0.0.1:80", based_on)
    found = _evidence.current_record(member, simulated.table)
    assert (found is not None) is is_current


def test_record_of_a_hidden_server_expires_like_others() -> None:
    simulated = hidden_fleet()
    table = simulated.table
    end_ms = simulated.now_ms + 70_000
    for now_ms in range(simulated.now_ms, end_ms, TICK_MS):
        table.advance_clock(now_ms, now_ms, is_connected=True)
    table.evict_expired(end_ms)
    assert table.get(SERVER) is None
    assert table.superseded(SERVER) is None
    assert dataclasses.asdict(table.snapshot(end_ms))["reports"] == ()


# Guards against: one report of another id that states a server's address and a
# later start made that server count as gone as long as it ran.
def test_server_whose_address_another_writer_states_is_ready_again() -> None:
    simulated = Fleet()
    simulated.pass_time(2 * REPORT_INTERVAL_MS)
    taker = test_servers.report(server_id="x", born_ms=200)
    simulated.table.put(taker, simulated.now_ms)
    simulated.pass_time(10 * REPORT_INTERVAL_MS)
    assert simulated.is_ready


def fleet_with_taken_address() -> Fleet:
    """Returns a table in which another id has the server's address."""
    simulated = Fleet()
    simulated.pass_time(2 * REPORT_INTERVAL_MS)
    taker = test_servers.report(server_id="x", born_ms=200)
    simulated.table.put(taker, simulated.now_ms)
    return simulated


def test_server_whose_address_was_taken_gets_nothing_meanwhile() -> None:
    simulated = fleet_with_taken_address()
    simulated.not_ready_ms.clear()
    simulated.pass_time(simulated.now_ms + UNREACHABLE_AFTER_MS)
    assert len(simulated.not_ready_ms) * TICK_MS == UNREACHABLE_AFTER_MS


# Guards against: late reports of a server that has ended, which come together,
# give it back the address of one that is lost for a while.
def test_late_reports_that_come_together_take_no_address_back() -> None:
    simulated = fleet_with_taken_address()
    table = simulated.table
    for _ in range(2 * UNREACHABLE_AFTER_MS // TICK_MS):
        simulated.now_ms += TICK_MS
        table.advance_clock(
            simulated.now_ms, simulated.now_ms, is_connected=True
        )
    for sequence in (3, 4, 5):
        table.put(test_servers.report(sequence=sequence), simulated.now_ms)
    assert not simulated.is_ready


# Guards against: a node that learns of both servers at once, as after a
# restart, never heard the one whose address another writer had stated.
def test_node_that_starts_later_hears_the_server_again() -> None:
    simulated = fleet_with_taken_address()
    simulated.pass_time(simulated.now_ms + 2 * REPORT_INTERVAL_MS)
    taker = simulated.table.get(model.BackendServerId("x"))
    assert taker is not None
    later = Fleet()
    later.sequence = simulated.sequence
    later.table.put(taker.report, 0)
    later.pass_time(10 * REPORT_INTERVAL_MS)
    assert later.is_ready


# Guards against: that an address was taken over is remembered like a departure,
# also by nodes to which it is passed on.
def test_taken_address_is_no_departure() -> None:
    simulated = fleet_with_taken_address()
    simulated.pass_time(simulated.now_ms + REPORT_INTERVAL_MS)
    assert simulated.table.departures.all() == ()
    found = simulated.table.snapshot(simulated.now_ms)
    states = {aged.report.state for aged in found.reports}
    assert states == {model.ServerState.READY}
