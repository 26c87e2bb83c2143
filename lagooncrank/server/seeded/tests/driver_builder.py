"""Builds a group driver around fakes, for tests without I/O."""

import types
from typing import Any
from typing import cast

from lagooncrank import clock as clocks
from lagooncrank import observed_time
from lagooncrank import settings
from lagooncrank.core import fleet
from lagooncrank.core.groups.tests import builders
from lagooncrank.server.seeded import _control_metrics
from lagooncrank.server.seeded import _group_driver


def build_driver(
    shared: object,
    engines: object,
    table: fleet.ServerTable | None = None,
    write: object = lambda *_, **__: None,
    documents: object = None,
    nodes: object = None,
    clock: clocks.Clock | None = None,
) -> _group_driver.GroupDriver:
    """Returns a driver that is not started.

    Args:
        shared: Replicated state.
        engines: Client for orders.
        table: Reports of engines; by default there are none.
        write: Receives the lines of the decision log.
        documents: Store of the document in force.
        nodes: Live nodes, as the leader sees them.
        clock: Source of time, also of the observed time; by default it stands.
    """
    view = types.SimpleNamespace(
        listeners=[], table=table or builders.server_table(), nodes=nodes
    )
    clock = clock or clocks.ManualClock()
    return _group_driver.GroupDriver(
        settings.SeededSettings(
            settings.Role.CONTROL,
            "10.0.0.1",
            cast(Any, "a"),
            7340,
            (),
            "key",
        ),
        cast(Any, shared),
        cast(Any, view),
        cast(Any, documents),
        cast(Any, engines),
        clock,
        observed_time.ObservedClock(clock),
        cast(Any, types.SimpleNamespace(write=write)),
        _control_metrics.ControlMetrics(),
    )
