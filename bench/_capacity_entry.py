"""Costs of an entry."""

from collections.abc import Iterator

from bench import _capacity_plan
from bench import _capacity_rows


def rows(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    """Yields what control costs every entry."""
    yield from _entry_bytes(lines)
    yield from _entry_cpu(lines)
    yield from _entry_memory(lines)


def _entry_bytes(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    plan, rates = lines.plan, lines.rates
    heard = plan.announcements_per_s
    yield _capacity_rows.bytes_row(
        "entry",
        "announcements of backend servers, server/http/_entries.py",
        "2 x backend servers / nodes x (http_announcement + http_headers "
        "+ http_entries x nodes)",
        heard
        * (
            lines.slope("http_announcement")
            + lines.slope("http_headers")
            + lines.line("http_entries", plan.nodes)
        ),
    )
    renewals = heard / rates.exchanges
    yield _capacity_rows.bytes_row(
        "entry",
        "exchange of announcements, server/_announcements.py",
        f"2 ways x peers x {rates.exchanges:g}/s x (frame + wire_renewal "
        "line at the renewals between two)",
        2
        * lines.peers
        * rates.exchanges
        * lines.framed(lines.line("wire_renewal", renewals)),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "entry states, server/_entries.py",
        f"2 ways x peers x {rates.entry_states:g}/s x (frame + "
        "wire_entry_state)",
        2
        * lines.peers
        * rates.entry_states
        * lines.framed(lines.slope("wire_entry_state")),
    )
    accounts = plan.accounts / plan.nodes
    yield _capacity_rows.bytes_row(
        "entry",
        "usage reports, server/_usage.py",
        f"2 ways x peers x {rates.usage_reports:g}/s x (frame + wire_usage "
        "line at accounts / nodes in use)",
        2
        * lines.peers
        * rates.usage_reports
        * lines.framed(lines.line("wire_usage", accounts)),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "polls of an upstream, core/consensus/_polling.py",
        f"{rates.polls:g}/s x (2 frames + wire_poll)",
        rates.polls
        * (lines.slope("wire_poll") + 2 * _capacity_plan.FRAME_BYTES),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "changes of configuration, core/consensus/_relay.py",
        "changes/s x wire_change line at the accounts",
        lines.change_bytes_per_s(),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "bookings of all entries, core/consensus/_relay.py",
        "bookings/s x wire_booking",
        plan.bookings_per_s * lines.slope("wire_booking"),
    )
    yield _capacity_rows.bytes_row(
        "entry",
        "revision reports, server/_revision_reports.py",
        "changes/s x 5 x voters x (frame + wire_revision)",
        plan.changes_per_s
        * rates.revision_reports
        * plan.voters
        * lines.framed(lines.slope("wire_revision")),
    )


def _entry_cpu(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    plan, rates = lines.plan, lines.rates
    message = lines.slope("cpu_message")
    heard = plan.announcements_per_s
    yield _capacity_rows.cpu_row(
        "entry",
        "announcements of backend servers, server/http/_entries.py",
        "2 x backend servers / nodes x (cpu_http + cpu_announcement)",
        heard * (lines.slope("cpu_http") + lines.slope("cpu_announcement")),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "exchange of announcements, server/_announcements.py",
        f"peers x {rates.exchanges:g}/s x cpu_message + 2 x backend servers "
        "x cpu_renewal",
        lines.peers * rates.exchanges * message
        + 2 * plan.backend_servers * lines.slope("cpu_renewal"),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "entry states and usage reports, server/_entries.py, _usage.py",
        f"peers x ({rates.entry_states:g}/s + {rates.usage_reports:g}/s) x "
        "cpu_message",
        lines.peers * (rates.entry_states + rates.usage_reports) * message,
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "replicated state, core/state",
        "bookings/s x cpu_booking at none on record + changes/s x "
        "cpu_change line at the accounts",
        plan.bookings_per_s * lines.base("cpu_booking")
        + plan.changes_per_s * lines.line("cpu_change", plan.accounts),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "admission, core/admission",
        "requests/s / nodes x cpu_admission at no account + models "
        f"x {rates.limit_updates:g}/s x cpu_admission_tick line at accounts "
        "/ nodes in use",
        plan.requests_per_s / plan.nodes * lines.base("cpu_admission")
        + plan.models
        * rates.limit_updates
        * lines.line("cpu_admission_tick", plan.accounts / plan.nodes),
    )
    yield _capacity_rows.cpu_row(
        "entry",
        "routing, core/routing",
        "requests/s / nodes x cpu_route line at replicas / models",
        plan.requests_per_s
        / plan.nodes
        * lines.line("cpu_route", plan.replicas / plan.models),
    )


def _entry_memory(lines: _capacity_rows.Lines) -> Iterator[_capacity_rows.Row]:
    plan, rates = lines.plan, lines.rates
    yield _capacity_rows.memory_row(
        "entry",
        "interpreter and libraries, before any object",
        "memory_daemon",
        lines.slope("memory_daemon"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "links to every node, server/links",
        "peers x memory_link",
        lines.peers * lines.slope("memory_link"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "membership of every backend server, core/membership",
        "backend servers x memory_backend",
        plan.backend_servers * lines.slope("memory_backend"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "replicas, core/state",
        "replicas x memory_replica",
        plan.replicas * lines.slope("memory_replica"),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "kept revisions, core/state/_configuration.py",
        "200 x (accounts x memory_account + models x memory_model)",
        rates.kept_revisions
        * (
            plan.accounts * lines.slope("memory_account")
            + plan.models * lines.slope("memory_model")
        ),
    )
    yield _capacity_rows.memory_row(
        "entry",
        "bookings on record at every node, core/state/_ledger.py",
        "the fewer of bookings/s x seconds kept and 20,000 x accounts, x "
        "memory_call",
        min(
            plan.bookings_per_s * plan.booking_kept_s,
            rates.calls_per_account * plan.accounts,
        )
        * lines.slope("memory_call"),
    )
