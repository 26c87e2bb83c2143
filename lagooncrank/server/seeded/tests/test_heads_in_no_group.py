"""Orders to a head that is open although no group holds it any more."""

import asyncio
import types

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import fleet
from lagooncrank.core import groups
from lagooncrank.core.groups.tests import builders
from lagooncrank.server.seeded import _adapter
from lagooncrank.server.seeded.tests import driver_builder

#: Time of a machine that was started long before this process.
START_MS = 1_000_000
NOTICE_TTL_MS = 2_000


class RecordingEngines:
    """Records the kinds of the orders that it receives."""

    def __init__(self) -> None:
        self.kinds: list[str] = []

    async def send(
        self, order: groups.Order, _token: groups.FencingToken
    ) -> _adapter.OrderOutcome:
        self.kinds.append(order.kind.value)
        return _adapter.OrderOutcome(202)


def notice_of_work(server_id: str) -> fleet.NodeNotice:
    """Returns the notice of an entry that sees responses progress."""
    return fleet.NodeNotice(
        model.NodeId("10.0.0.9"),
        model.NodeRole.ENTRY,
        model.FailureDomainId("a"),
        "10.0.0.9:80",
        is_open=True,
        incarnation=1,
        sequence=1,
        working=(server_id,),
    )


class Leader:
    """The group driver of a leader, and an open head that no group holds."""

    def __init__(self) -> None:
        removed = builders.group(1)
        reports = builders.member_reports(removed, [model.MemberState.OPEN])
        service = builders.SERVICE_CONFIG
        shared = types.SimpleNamespace(
            term=1,
            is_leader=True,
            lease_holds=lambda: True,
            on_applied=lambda _: None,
            view=types.SimpleNamespace(groups={}, last_epoch=removed.epoch),
        )
        self.clock = clocks.ManualClock(START_MS)
        self.nodes = fleet.NodeTable(NOTICE_TTL_MS)
        self.engines = RecordingEngines()
        self.driver = driver_builder.build_driver(
            shared,
            self.engines,
            builders.server_table(*reports),
            documents=types.SimpleNamespace(
                catalog=types.SimpleNamespace(services={service.name: service})
            ),
            nodes=self.nodes,
            clock=self.clock,
        )
        self.nodes.put(
            notice_of_work(removed.head.server_id),
            self.driver._observed_clock.now_ms(),
        )

    async def step(self) -> None:
        self.driver.step()
        await asyncio.gather(*self.driver._futures)


# Guards against: the leader took notices for outdated, and told a head to abort
# responses that entries saw progressing.
async def test_head_in_no_group_that_works_is_not_told_to_abort() -> None:
    leader = Leader()
    await leader.step()
    assert leader.engines.kinds == ["close"]


# Guards against: the leader's own standstill counts as time in which a head
# made no progress.
async def test_standstill_of_the_leader_is_no_lack_of_progress() -> None:
    leader = Leader()
    await leader.step()
    leader.nodes = fleet.NodeTable(NOTICE_TTL_MS)
    leader.driver._view.nodes = leader.nodes
    leader.clock.advance(20_000)
    await leader.step()
    assert leader.engines.kinds == ["close"]
