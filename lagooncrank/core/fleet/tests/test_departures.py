"""Processes that leave, and whose reports come late."""

import pytest

from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core.fleet.tests import test_servers

LEAVING = (model.ServerState.DRAINING, model.ServerState.GONE)


def state_in(table: fleet.ServerTable) -> model.ServerState:
    record = table.get(test_servers.SERVER)
    assert record is not None
    return record.report.state


def restarted(table: fleet.ServerTable) -> fleet.ServerTable:
    """Returns the table of a node that kept only the departures."""
    new = fleet.ServerTable(test_servers.UNREACHABLE_AFTER_MS)
    new.departures.record_all(table.departures.all())
    return new


# Guards against: a late ping made a server ready again that had left, since a
# restart of all nodes had lost that it leaves.
@pytest.mark.parametrize("state", LEAVING)
def test_late_report_after_a_restart_does_not_make_a_server_ready(
    state: model.ServerState,
) -> None:
    table = fleet.ServerTable(test_servers.UNREACHABLE_AFTER_MS)
    table.put(test_servers.report(sequence=5), 0)
    table.put(test_servers.report(sequence=6, state=state), 0)
    table = restarted(table)
    table.put(test_servers.report(sequence=4), 0)
    assert state_in(table) is state


# Guards against: the same, if the process is told to be gone before its first
# report since the restart.
def test_deregistration_before_any_report_is_remembered() -> None:
    table = fleet.ServerTable(test_servers.UNREACHABLE_AFTER_MS)
    table.deregister(test_servers.SERVER, 100, 0)
    table.put(test_servers.report(sequence=5), 0)
    assert state_in(table) is model.ServerState.GONE


# Guards against: a node that had not heard of the departure told the others
# that the server is ready, and was not corrected.
def test_node_that_remembers_corrects_one_that_does_not() -> None:
    knowing = fleet.ServerTable(test_servers.UNREACHABLE_AFTER_MS)
    knowing.deregister(test_servers.SERVER, 100, 0)
    other = fleet.ServerTable(test_servers.UNREACHABLE_AFTER_MS)
    other.put(test_servers.report(sequence=5), 0)
    updates = other.pop_updates(0)
    assert updates is not None
    knowing.merge(updates, 0)
    correction = knowing.pop_updates(0)
    assert correction is not None
    other.merge(correction, 0)
    assert state_in(other) is model.ServerState.GONE


def test_next_process_of_a_server_that_left_is_ready() -> None:
    table = fleet.ServerTable(test_servers.UNREACHABLE_AFTER_MS)
    table.deregister(test_servers.SERVER, 100, 0)
    table = restarted(table)
    table.put(test_servers.report(born_ms=200), 0)
    assert state_in(table) is model.ServerState.READY


def test_departures_are_bounded() -> None:
    departures = fleet.Departures()
    for born_ms in range(fleet.MAX_DEPARTURES + 1):
        departures.record(
            fleet.Departure(
                test_servers.SERVER, born_ms, model.ServerState.GONE
            )
        )
    assert len(departures.all()) == fleet.MAX_DEPARTURES
    assert departures.all()[0].born_ms == 1
