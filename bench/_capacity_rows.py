"""Rows of the cost tables, and the cost model that they are computed from."""

from collections.abc import Mapping
import dataclasses

from bench import _capacity_plan
from bench import _slopes

US_PER_PERCENT = 10_000
BYTES_PER_S = "B/s"
CPU = "% of a core"
MEMORY = "B of memory"


@dataclasses.dataclass(frozen=True, slots=True)
class CostRow:
    """Cost of one mechanism at nodes of one role."""

    role: str
    unit: str
    #: Mechanism that causes the cost, and the module that implements it.
    mechanism: str
    #: How the value is computed from slopes and plan.
    formula: str
    value: float


class CostModel:
    """Computes costs from measured slopes for a planned size of the system.

    Args:
        slopes: Measured slopes by name.
        plan: Planned size of the system.
        rates: Rates and limits of the mechanisms.
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
        """Returns the traffic of replicating configuration changes."""
        change_bytes = self.cost_at("wire_change", self.plan.accounts)
        return self.plan.changes_per_s * change_bytes

    def base_cost(self, name: str) -> float:
        """Returns the cost at size 0."""
        return self._slopes[name].base

    def unit_cost(self, name: str) -> float:
        """Returns the cost of one more object."""
        return self._slopes[name].slope

    def cost_at(self, name: str, size: float) -> float:
        """Returns the cost at a size."""
        slope = self._slopes[name]
        return slope.base + slope.slope * size

    def framed_bytes(self, payload_bytes: float) -> float:
        """Returns the size of a message on the wire, with its overhead."""
        return payload_bytes + _capacity_plan.FRAME_BYTES


def bytes_row(role: str, mechanism: str, formula: str, value: float) -> CostRow:
    """Returns a row with a cost in bytes per second."""
    return CostRow(role, BYTES_PER_S, mechanism, formula, value)


def cpu_row(
    role: str, mechanism: str, formula: str, us_per_s: float
) -> CostRow:
    """Returns a row with a cost in percent of a core."""
    return CostRow(role, CPU, mechanism, formula, us_per_s / US_PER_PERCENT)


def memory_row(
    role: str, mechanism: str, formula: str, value: float
) -> CostRow:
    """Returns a row with a cost in bytes of memory."""
    return CostRow(role, MEMORY, mechanism, formula, value)
