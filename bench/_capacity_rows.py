"""Works the cost of each role out from the slopes."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from bench import _capacity_plan
from bench import _slopes

US_PER_PERCENT = 10_000
BYTES_PER_S = "B/s"
CPU = "% of a core"
MEMORY = "B of memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One cost of one role."""

    role: str
    unit: str
    #: What carries it, with the module that does.
    mechanism: str
    #: How the value follows from slopes and plan.
    formula: str
    value: float


class Costs:
    """Costs by role, from measured slopes.

    Args:
        slopes: Every measured slope by its name.
        plan: The size to work out.
        rates: How often the mechanisms act.
    """

    def __init__(
        self,
        slopes: Mapping[str, _slopes.Slope],
        plan: _capacity_plan.Plan,
        rates: _capacity_plan.Rates,
    ) -> None:
        self._slopes = slopes
        self._plan = plan
        self._rates = rates
        self._peers = plan.nodes - 1

    def rows(self) -> Iterator[Row]:
        """Yields the costs of every role."""
        yield from self._entry_bytes()
        yield from self._entry_cpu()
        yield from self._entry_memory()
        yield from self._relay_bytes()
        yield from self._voter_bytes()
        yield from self._leader()

    def _entry_bytes(self) -> Iterator[Row]:
        plan, rates = self._plan, self._rates
        heard = plan.announcements_per_s
        yield _bytes(
            "entry",
            "announcements of backend servers, server/http/_entries.py",
            "2 x backend servers / nodes x (http_announcement + http_headers "
            "+ http_entries x nodes)",
            heard
            * (
                self._slope("http_announcement")
                + self._slope("http_headers")
                + self._line("http_entries", plan.nodes)
            ),
        )
        renewals = heard / rates.exchanges
        yield _bytes(
            "entry",
            "exchange of announcements, server/_announcements.py",
            "2 ways x peers x 4/s x (frame + wire_renewal line at the "
            "renewals of 250 ms)",
            2
            * self._peers
            * rates.exchanges
            * self._framed(self._line("wire_renewal", renewals)),
        )
        yield _bytes(
            "entry",
            "entry states, server/_entries.py",
            "2 ways x peers x 2/s x (frame + wire_entry_state)",
            2
            * self._peers
            * rates.entry_states
            * self._framed(self._slope("wire_entry_state")),
        )
        accounts = plan.accounts / plan.nodes
        yield _bytes(
            "entry",
            "usage reports, server/_usage.py",
            "2 ways x peers x 5/s x (frame + wire_usage line at accounts / "
            "nodes in use)",
            2
            * self._peers
            * rates.usage_reports
            * self._framed(self._line("wire_usage", accounts)),
        )
        yield _bytes(
            "entry",
            "polls of an upstream, core/consensus/_polling.py",
            "2/s x (2 frames + wire_poll)",
            rates.polls
            * (self._slope("wire_poll") + 2 * _capacity_plan.FRAME_BYTES),
        )
        yield _bytes(
            "entry",
            "changes of configuration, core/consensus/_relay.py",
            "changes/s x wire_change line at the accounts",
            self._change_bytes_per_s(),
        )
        yield _bytes(
            "entry",
            "bookings of all entries, core/consensus/_relay.py",
            "bookings/s x wire_booking",
            plan.bookings_per_s * self._slope("wire_booking"),
        )
        yield _bytes(
            "entry",
            "revision reports, server/_revision_reports.py",
            "changes/s x 5 x voters x (frame + wire_revision)",
            plan.changes_per_s
            * rates.revision_reports
            * plan.voters
            * self._framed(self._slope("wire_revision")),
        )

    def _entry_cpu(self) -> Iterator[Row]:
        plan, rates = self._plan, self._rates
        message = self._slope("cpu_message")
        heard = plan.announcements_per_s
        yield _cpu(
            "entry",
            "announcements of backend servers, server/http/_entries.py",
            "2 x backend servers / nodes x (cpu_http + cpu_announcement)",
            heard * (self._slope("cpu_http") + self._slope("cpu_announcement")),
        )
        yield _cpu(
            "entry",
            "exchange of announcements, server/_announcements.py",
            "peers x 4/s x cpu_message + 2 x backend servers x cpu_renewal",
            self._peers * rates.exchanges * message
            + 2 * plan.backend_servers * self._slope("cpu_renewal"),
        )
        yield _cpu(
            "entry",
            "entry states and usage reports, server/_entries.py, _usage.py",
            "peers x (2/s + 5/s) x cpu_message",
            self._peers * (rates.entry_states + rates.usage_reports) * message,
        )
        yield _cpu(
            "entry",
            "replicated state, core/state",
            "bookings/s x cpu_booking at none on record + changes/s x "
            "cpu_change line at the accounts",
            plan.bookings_per_s * self._slopes["cpu_booking"].base
            + plan.changes_per_s * self._line("cpu_change", plan.accounts),
        )
        yield _cpu(
            "entry",
            "admission, core/admission",
            "requests/s / nodes x cpu_admission at no account + models x 5/s "
            "x cpu_admission_tick line at accounts / nodes in use",
            plan.requests_per_s
            / plan.nodes
            * self._slopes["cpu_admission"].base
            + plan.models
            * rates.limit_updates
            * self._line("cpu_admission_tick", plan.accounts / plan.nodes),
        )
        yield _cpu(
            "entry",
            "routing, core/routing",
            "requests/s / nodes x cpu_route line at replicas / models",
            plan.requests_per_s
            / plan.nodes
            * self._line("cpu_route", plan.replicas / plan.models),
        )

    def _entry_memory(self) -> Iterator[Row]:
        plan, rates = self._plan, self._rates
        yield _memory(
            "entry",
            "interpreter and libraries, before any object",
            "memory_daemon",
            self._slope("memory_daemon"),
        )
        yield _memory(
            "entry",
            "links to every node, server/links",
            "peers x memory_link",
            self._peers * self._slope("memory_link"),
        )
        yield _memory(
            "entry",
            "membership of every backend server, core/membership",
            "backend servers x memory_backend",
            plan.backend_servers * self._slope("memory_backend"),
        )
        yield _memory(
            "entry",
            "replicas, core/state",
            "replicas x memory_replica",
            plan.replicas * self._slope("memory_replica"),
        )
        yield _memory(
            "entry",
            "kept revisions, core/state/_configuration.py",
            "200 x (accounts x memory_account + models x memory_model)",
            rates.kept_revisions
            * (
                plan.accounts * self._slope("memory_account")
                + plan.models * self._slope("memory_model")
            ),
        )
        yield _memory(
            "entry",
            "bookings on record at every node, core/state/_ledger.py",
            "the fewer of bookings/s x seconds kept and 20,000 x accounts, x "
            "memory_call",
            min(
                plan.bookings_per_s * plan.booking_kept_s,
                rates.calls_per_account * plan.accounts,
            )
            * self._slope("memory_call"),
        )

    def _relay_bytes(self) -> Iterator[Row]:
        plan, rates = self._plan, self._rates
        yield _bytes(
            "entry that others follow",
            "state passed on to followers, core/consensus/_relay.py",
            "8 x (changes + bookings as above)",
            rates.fan_out
            * (
                self._change_bytes_per_s()
                + plan.bookings_per_s * self._slope("wire_booking")
            ),
        )

    def _voter_bytes(self) -> Iterator[Row]:
        plan, rates = self._plan, self._rates
        yield _bytes(
            "voter",
            "appends from the leader, core/consensus",
            "bookings/s x wire_booking_append + changes + 6.7/s x (2 frames + "
            "wire_heartbeat)",
            plan.bookings_per_s * self._slope("wire_booking_append")
            + self._change_bytes_per_s()
            + rates.heartbeats
            * (self._slope("wire_heartbeat") + 2 * _capacity_plan.FRAME_BYTES),
        )
        yield _bytes(
            "voter",
            "revision reports of all nodes, server/_revision_reports.py",
            "nodes x changes/s x 5 x (frame + wire_revision)",
            plan.nodes
            * plan.changes_per_s
            * rates.revision_reports
            * self._framed(self._slope("wire_revision")),
        )

    def _leader(self) -> Iterator[Row]:
        plan, rates = self._plan, self._rates
        yield _bytes(
            "leader",
            "appends to the other voters, core/consensus",
            "(voters - 1) x appends of a voter",
            (plan.voters - 1) * next(self._voter_bytes()).value,
        )
        yield _cpu(
            "leader",
            "placement, core/placement",
            "4/s x cpu_placement line at the instances",
            rates.placement_steps
            * self._line("cpu_placement", plan.backend_servers),
        )

    def _change_bytes_per_s(self) -> float:
        line = self._line("wire_change", self._plan.accounts)
        return self._plan.changes_per_s * line

    def _slope(self, name: str) -> float:
        return self._slopes[name].slope

    def _line(self, name: str, size: float) -> float:
        slope = self._slopes[name]
        return slope.base + slope.slope * size

    def _framed(self, payload_bytes: float) -> float:
        return payload_bytes + _capacity_plan.FRAME_BYTES


def _bytes(role: str, mechanism: str, formula: str, value: float) -> Row:
    return Row(role, BYTES_PER_S, mechanism, formula, value)


def _cpu(role: str, mechanism: str, formula: str, us_per_s: float) -> Row:
    return Row(role, CPU, mechanism, formula, us_per_s / US_PER_PERCENT)


def _memory(role: str, mechanism: str, formula: str, value: float) -> Row:
    return Row(role, MEMORY, mechanism, formula, value)
