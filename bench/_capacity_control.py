"""Costs of entries that others follow, of voters and of the leader."""

from collections.abc import Iterator

from bench import _capacity_plan
from bench import _capacity_rows


def rows(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    """Yields what these roles cost beside those of an entry."""
    yield from _relay_bytes(lines)
    yield from _voter_bytes(lines)
    yield from _leader(lines)


def _relay_bytes(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    plan, rates = lines.plan, lines.rates
    yield _capacity_rows.bytes_row(
        "entry that others follow",
        "state passed on to followers, core/consensus/_relay.py",
        "8 x (changes + bookings as above)",
        rates.fan_out
        * (
            lines.change_bytes_per_s()
            + plan.bookings_per_s * lines.slope("wire_booking")
        ),
    )


def _voter_bytes(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    plan, rates = lines.plan, lines.rates
    yield _capacity_rows.bytes_row(
        "voter",
        "appends from the leader, core/consensus",
        "bookings/s x wire_booking_append + changes + 6.7/s x (2 frames + "
        "wire_heartbeat)",
        plan.bookings_per_s * lines.slope("wire_booking_append")
        + lines.change_bytes_per_s()
        + rates.heartbeats
        * (lines.slope("wire_heartbeat") + 2 * _capacity_plan.FRAME_BYTES),
    )
    yield _capacity_rows.bytes_row(
        "voter",
        "revision reports of all nodes, server/_revision_reports.py",
        "nodes x changes/s x 5 x (frame + wire_revision)",
        plan.nodes
        * plan.changes_per_s
        * rates.revision_reports
        * lines.framed(lines.slope("wire_revision")),
    )


def _leader(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    plan, rates = lines.plan, lines.rates
    yield _capacity_rows.bytes_row(
        "leader",
        "appends to the other voters, core/consensus",
        "(voters - 1) x appends of a voter",
        (plan.voters - 1) * next(_voter_bytes(lines)).value,
    )
    yield _capacity_rows.cpu_row(
        "leader",
        "placement, core/placement",
        "4/s x cpu_placement line at the instances",
        rates.placement_steps
        * lines.line("cpu_placement", plan.backend_servers),
    )
