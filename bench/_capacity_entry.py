"""Costs of the control mechanisms at an entry."""

from collections.abc import Iterator

from bench import _capacity_plan
from bench import _capacity_rows


def cost_rows(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    """Yields the cost of each control mechanism at an entry."""
    yield from _entry_traffic(costs)
    yield from _entry_cpu(costs)
    yield from _entry_memory(costs)


def _entry_traffic(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    plan, rates = costs.plan, costs.rates
    announcements_per_s = plan.announcements_per_s
    yield _capacity_rows.bytes_row(
        "entry",
        "announcements of backend servers, server/http/_entries.py",
        "2 x backend servers / nodes x (http_announcement + http_headers "
        "+ http_entries x nodes)",
        announcements_per_s
        * (
            costs.unit_cost("http_announcement")
            + costs.unit_cost("http_headers")
            + costs.cost_at("http_entries", plan.nodes)
        ),
    )
    renewals_per_exchange = announcements_per_s / rates.exchanges_per_s
    yield _capacity_rows.bytes_row(
        "entry",
        "exchange of announcements, server/_announcements.py",
        f"2 ways x peers x {rates.exchanges_per_s:g}/s x (frame + "
        "wire_renewal line at the renewals between two)",
        2
        * costs.peers
        * rates.exchanges_per_s
        * costs.framed_bytes(
            costs.cost_at("wire_renewal", renewals_per_exchange)
        ),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "entry states, server/_entries.py",
        f"2 ways x peers x {rates.entry_states_per_s:g}/s x (frame + "
        "wire_entry_state)",
        2
        * costs.peers
        * rates.entry_states_per_s
        * costs.framed_bytes(costs.unit_cost("wire_entry_state")),
    )
    accounts_per_node = plan.accounts / plan.nodes
    yield _capacity_rows.bytes_row(
        "entry",
        "usage reports, server/_usage.py",
        f"2 ways x peers x {rates.usage_reports_per_s:g}/s x (frame + "
        "wire_usage line at accounts / nodes in use)",
        2
        * costs.peers
        * rates.usage_reports_per_s
        * costs.framed_bytes(costs.cost_at("wire_usage", accounts_per_node)),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "polls of an upstream, core/consensus/_polling.py",
        f"{rates.polls_per_s:g}/s x (2 frames + wire_poll)",
        rates.polls_per_s
        * (costs.unit_cost("wire_poll") + 2 * _capacity_plan.FRAME_BYTES),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "changes of configuration, core/consensus/_relay.py",
        "changes/s x wire_change line at the accounts",
        costs.change_bytes_per_s(),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "bookings of all entries, core/consensus/_relay.py",
        "bookings/s x wire_booking",
        plan.bookings_per_s * costs.unit_cost("wire_booking"),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "revision reports, server/_revision_reports.py",
        "changes/s x 5 x voters x (frame + wire_revision)",
        plan.changes_per_s
        * rates.revision_reports_per_change
        * plan.voters
        * costs.framed_bytes(costs.unit_cost("wire_revision")),
    )


def _entry_cpu(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    plan, rates = costs.plan, costs.rates
    message_us = costs.unit_cost("cpu_message")
    announcements_per_s = plan.announcements_per_s
    yield _capacity_rows.cpu_row(
        "entry",
        "announcements of backend servers, server/http/_entries.py",
        "2 x backend servers / nodes x (cpu_http + cpu_announcement)",
        announcements_per_s
        * (costs.unit_cost("cpu_http") + costs.unit_cost("cpu_announcement")),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "exchange of announcements, server/_announcements.py",
        f"peers x {rates.exchanges_per_s:g}/s x cpu_message + 2 x backend "
        "servers x cpu_renewal",
        costs.peers * rates.exchanges_per_s * message_us
        + 2 * plan.backend_servers * costs.unit_cost("cpu_renewal"),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "entry states and usage reports, server/_entries.py, _usage.py",
        f"peers x ({rates.entry_states_per_s:g}/s + "
        f"{rates.usage_reports_per_s:g}/s) x cpu_message",
        costs.peers
        * (rates.entry_states_per_s + rates.usage_reports_per_s)
        * message_us,
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "replicated state, core/state",
        "bookings/s x cpu_booking at none on record + changes/s x "
        "cpu_change line at the accounts",
        plan.bookings_per_s * costs.base_cost("cpu_booking")
        + plan.changes_per_s * costs.cost_at("cpu_change", plan.accounts),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "admission, core/admission",
        "requests/s / nodes x cpu_admission at no account + models "
        f"x {rates.limit_updates_per_s:g}/s x cpu_admission_tick line at "
        "accounts / nodes in use",
        plan.requests_per_s / plan.nodes * costs.base_cost("cpu_admission")
        + plan.models
        * rates.limit_updates_per_s
        * costs.cost_at("cpu_admission_tick", plan.accounts / plan.nodes),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "routing, core/routing",
        "requests/s / nodes x cpu_route line at replicas / models",
        plan.requests_per_s
        / plan.nodes
        * costs.cost_at("cpu_route", plan.replicas / plan.models),
    )


def _entry_memory(
    costs: _capacity_rows.CostModel,
) -> Iterator[_capacity_rows.CostRow]:
    plan, rates = costs.plan, costs.rates
    yield _capacity_rows.memory_row(
        "entry",
        "interpreter and libraries, before any object",
        "memory_daemon",
        costs.unit_cost("memory_daemon"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "links to every node, server/links",
        "peers x memory_link",
        costs.peers * costs.unit_cost("memory_link"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "membership of every backend server, core/membership",
        "backend servers x memory_backend",
        plan.backend_servers * costs.unit_cost("memory_backend"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "replicas, core/state",
        "replicas x memory_replica",
        plan.replicas * costs.unit_cost("memory_replica"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "kept revisions, core/state/_configuration.py",
        "200 x (accounts x memory_account + models x memory_model)",
        rates.retained_revisions
        * (
            plan.accounts * costs.unit_cost("memory_account")
            + plan.models * costs.unit_cost("memory_model")
        ),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "bookings on record at every node, core/state/_ledger.py",
        "the fewer of bookings/s x seconds kept and 20,000 x accounts, x "
        "memory_call",
        min(
            plan.bookings_per_s * plan.booking_retention_s,
            rates.max_bookings_per_account * plan.accounts,
        )
        * costs.unit_cost("memory_call"),
    )
