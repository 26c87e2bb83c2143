"""Builds a group driver around fakes, for tests without I/O."""

import types
from typing import Any
from typing import cast

from lagooncrank import clock as clocks
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
) -> _group_driver.GroupDriver:
    """Returns a driver that is not started.

    Args:
        shared: Replicated state.
        engines: Client for orders.
        table: Reports of engines; by default there are none.
        write: Receives the lines of the decision log.
        documents: Store of the document in force.
        nodes: Live nodes, as the leader sees them.
    """
    view = types.SimpleNamespace(
        listeners=[], table=table or builders.server_table(), nodes=nodes
    )
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
        clocks.ManualClock(),
        cast(Any, types.SimpleNamespace(write=write)),
        _control_metrics.ControlMetrics(),
    )
