"""Slots that each of many entries uses when all start after a power failure."""

import types
from typing import Any
from typing import cast

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import dispatch
from lagooncrank.server.seeded import _stall_detector
from lagooncrank.server.seeded import _target_selector

SERVICE = model.ServiceName("writers")
SLOTS = 13
HEADS = 10


def make_selector(
    *, knows_other_loads: bool, entries: int, in_flight: int
) -> _target_selector.TargetSelector:
    view: Any = types.SimpleNamespace(
        loads=dispatch.InFlightTracker(),
        stall_detector=_stall_detector.StallDetector(),
        knows_other_loads=lambda _: knows_other_loads,
        entry_count=entries,
    )
    view.loads.set_fleet_totals(
        {f"s{n}": in_flight // HEADS for n in range(HEADS)}
    )
    failure_domain = model.FailureDomainId("a")
    selector = _target_selector.TargetSelector(
        failure_domain,
        cast(Any, None),
        view,
        cast(Any, types.SimpleNamespace(catalog=None)),
        cast(Any, types.SimpleNamespace(has_limits=False)),
        clocks.ManualClock(),
    )
    heads = [
        dispatch.Target(
            model.BackendServerId(f"s{n}"),
            "",
            SERVICE,
            failure_domain,
            SLOTS,
            f"g{n}",
        )
        for n in range(HEADS)
    ]
    selector._group_heads = lambda *_: iter(heads)  # type: ignore[method-assign]
    return selector


@pytest.mark.parametrize("entries", [1, 6, 9, 14])
def test_entries_that_start_together_do_not_exceed_the_slots(
    entries: int,
) -> None:
    selector = make_selector(
        knows_other_loads=False, entries=entries, in_flight=0
    )
    slot_budget = selector.slot_budget(SERVICE, "large")
    assert slot_budget is not None
    running = max(entries, 9)
    assert 0 < slot_budget.slots * running <= HEADS * SLOTS * 1.2


def test_entry_that_knows_other_loads_uses_free_slots() -> None:
    selector = make_selector(knows_other_loads=True, entries=9, in_flight=100)
    slot_budget = selector.slot_budget(SERVICE, "large")
    assert slot_budget is not None
    assert slot_budget.slots == round(
        dispatch.OVERCOMMIT_FACTOR * (HEADS * SLOTS - 100) / 9
    )
