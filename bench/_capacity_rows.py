"""Rows of cost, and the slopes that they are worked out from."""

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


class Lines:
    """Reads measured slopes for the costs of roles.

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
        self.plan = plan
        self.rates = rates
        self.peers = plan.nodes - 1

    def change_bytes_per_s(self) -> float:
        """Returns what following the configuration takes."""
        line = self.line("wire_change", self.plan.accounts)
        return self.plan.changes_per_s * line

    def base(self, name: str) -> float:
        """Returns the cost of none."""
        return self._slopes[name].base

    def slope(self, name: str) -> float:
        """Returns the cost of one more."""
        return self._slopes[name].slope

    def line(self, name: str, size: float) -> float:
        """Returns the cost of a size."""
        slope = self._slopes[name]
        return slope.base + slope.slope * size

    def framed(self, payload_bytes: float) -> float:
        """Returns the bytes of a message with what stands round it."""
        return payload_bytes + _capacity_plan.FRAME_BYTES


def bytes_row(role: str, mechanism: str, formula: str, value: float) -> Row:
    """Returns a row of bytes per second."""
    return Row(role, BYTES_PER_S, mechanism, formula, value)


def cpu_row(role: str, mechanism: str, formula: str, us_per_s: float) -> Row:
    """Returns a row of processor time from microseconds per second."""
    return Row(role, CPU, mechanism, formula, us_per_s / US_PER_PERCENT)


def memory_row(role: str, mechanism: str, formula: str, value: float) -> Row:
    """Returns a row of memory."""
    return Row(role, MEMORY, mechanism, formula, value)
