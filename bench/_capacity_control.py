"""Costs of entries that relay state to followers, of voters and the leader."""

from collections.abc import Iterator

from bench import _capacity_plan
from bench import _capacity_rows


def cost_rows(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    """Yields the costs of these roles, which add to those of an entry."""
    yield from _relay_traffic(costs)
    yield from _voter_traffic(costs)
    yield from _leader_costs(costs)


def _relay_traffic(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    plan, rates = costs.plan, costs.rates
    yield _capacity_rows.bytes_row(
        "entry that others follow",
        "state passed on to followers, core/consensus/_relay.py",
        "8 x (changes + bookings as above)",
        rates.max_followers
        * (
            costs.change_bytes_per_s()
            + plan.bookings_per_s * costs.unit_cost("wire_booking")
        ),
    )


def _voter_traffic(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    plan, rates = costs.plan, costs.rates
    yield _capacity_rows.bytes_row(
        "voter",
        "appends from the leader, core/consensus",
        "bookings/s x wire_booking_append + changes + 6.7/s x (2 frames + "
        "wire_heartbeat)",
        plan.bookings_per_s * costs.unit_cost("wire_booking_append")
        + costs.change_bytes_per_s()
        + rates.heartbeats_per_s
        * (costs.unit_cost("wire_heartbeat") + 2 * _capacity_plan.FRAME_BYTES),
    )
    yield _capacity_rows.bytes_row(
        "voter",
        "revision reports of all nodes, server/_revision_reports.py",
        "nodes x changes/s x 5 x (frame + wire_revision)",
        plan.nodes
        * plan.changes_per_s
        * rates.revision_reports_per_change
        * costs.framed_bytes(costs.unit_cost("wire_revision")),
    )


def _leader_costs(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    plan, rates = costs.plan, costs.rates
    yield _capacity_rows.bytes_row(
        "leader",
        "appends to the other voters, core/consensus",
        "(voters - 1) x appends of a voter",
        (plan.voters - 1) * next(_voter_traffic(costs)).value,
    )
    yield _capacity_rows.cpu_row(
        "leader",
        "placement, core/placement",
        "4/s x cpu_placement line at the instances",
        rates.placement_steps_per_s
        * costs.cost_at("cpu_placement", plan.backend_servers),
    )
