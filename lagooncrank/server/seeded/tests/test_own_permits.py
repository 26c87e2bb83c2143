"""Permits of an entry that reaches no control node."""

import types
from typing import Any

import pytest

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank import observed_time
from lagooncrank.core import dispatch
from lagooncrank.core import fleet
from lagooncrank.core import limits
from lagooncrank.server.seeded import _server_limits

RATE_PER_S = 40.0
ENTRIES = 8
SECONDS = 4
TARGET = dispatch.Target(
    model.BackendServerId("s1"),
    "s1:80",
    model.ServiceName("desk"),
    model.FailureDomainId("a"),
    100,
    born_ms=1,
)


# Guards against: entries that had last heard of no other open entry, as the
# control nodes had just started, each used the whole limit of a server.
@pytest.mark.parametrize("seen", [(), (0,), (1,), (ENTRIES, 0)])
async def test_entry_without_control_nodes_uses_a_share_only(
    seen: tuple[int, ...],
) -> None:
    clock = clocks.ManualClock()
    sharing = fleet.SharingEntries()
    for count in seen:
        sharing.record(count, 0)
    view: Any = types.SimpleNamespace(
        entry_count=seen[-1] if seen else 1,
        sharing_entries=sharing,
        connected_control_nodes=list,
        news_recipients=frozenset,
        listeners=[],
    )
    links: Any = types.SimpleNamespace(
        on_message=lambda *_: None,
        on_connected=lambda *_: None,
        send_all=lambda *_: None,
    )
    log: Any = types.SimpleNamespace(write=lambda *_, **__: None)
    server_limits = _server_limits.ServerLimits(
        model.NodeId("e1"),
        view,
        links,
        clock,
        observed_time.ObservedClock(clock),
        log,
    )
    stated = limits.StatedLimit.from_rates([RATE_PER_S])
    server_limits.record_response(TARGET, stated, 0)
    used = 0
    for _ in range(SECONDS * 50):
        clock.advance(20)
        server_limits.request_permits([TARGET], 10)
        # What its timer does.
        server_limits._issue()
        while server_limits.permits(TARGET):
            server_limits.use_permit(TARGET)
            used += 1
    # All entries together, in a time that the rate allows this for.
    assert used <= RATE_PER_S * SECONDS / ENTRIES
