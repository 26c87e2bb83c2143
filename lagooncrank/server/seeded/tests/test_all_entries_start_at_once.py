"""Room for requests as each of many entries sees it after a loss of power."""

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


def targets_of(
    *, knows_other_loads: bool, entries: int, in_flight: int
) -> _target_selector.TargetSelector:
    view: Any = types.SimpleNamespace(
        loads=dispatch.InFlightTracker(),
        stall_detector=_stall_detector.StallDetector(now_ms=0),
        knows_other_loads=lambda _: knows_other_loads,
        entry_count=entries,
    )
    view.loads.set_fleet_totals(
        {f"s{n}": in_flight // HEADS for n in range(HEADS)}
    )
    near = model.FailureDomainId("a")
    found = _target_selector.TargetSelector(
        near, cast(Any, None), view, cast(Any, None), clocks.ManualClock()
    )
    heads = [
        dispatch.Target(
            model.BackendServerId(f"s{n}"), "", SERVICE, near, SLOTS, f"g{n}"
        )
        for n in range(HEADS)
    ]
    found._group_heads = lambda *_: iter(heads)  # type: ignore[method-assign]
    return found


@pytest.mark.parametrize("entries", [1, 6, 9, 14])
def test_entries_that_start_together_do_not_take_all_places_at_once(
    entries: int,
) -> None:
    targets = targets_of(knows_other_loads=False, entries=entries, in_flight=0)
    slot_budget = targets.slot_budget(SERVICE, "large")
    assert slot_budget is not None
    running = max(entries, 9)
    assert 0 < slot_budget.slots * running <= HEADS * SLOTS * 1.2


def test_entry_that_knows_the_others_uses_what_they_leave() -> None:
    targets = targets_of(knows_other_loads=True, entries=9, in_flight=100)
    slot_budget = targets.slot_budget(SERVICE, "large")
    assert slot_budget is not None
    assert slot_budget.slots == round(
        dispatch.OVERCOMMIT_FACTOR * (HEADS * SLOTS - 100) / 9
    )
