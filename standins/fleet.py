"""Model engines as the placement core sees them, on a manual clock.

A fake at the core's interfaces: engines announce, take orders and share one
weight store. There is no network; whoever holds a fleet decides which orders
reach it and when.
"""

from collections.abc import Iterator
import dataclasses

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import membership
from lagooncrank.core import placement
from standins import _orders

#: Lease of a running engine's announcement, in milliseconds.
LEASE_MS = 2_500


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreLimits:
    """Rate limits of the weight store."""

    bytes_per_s: int
    #: Most that one engine can take.
    bytes_per_s_per_engine: int


class Engine:
    """One instance with one engine; it can stop, pause and start again."""

    def __init__(
        self, index: int, domain: str, checks_fencing: bool, accelerators: int
    ) -> None:
        self.instance_id = model.InstanceId(f"i{index:05}")
        self.order_executor = _orders.OrderExecutor(checks_fencing)
        self.is_running = True
        self.is_paused = False
        self.heard_ms = 0
        self._announcement = model.Announcement(
            backend_server_id=model.BackendServerId(f"b{index:05}"),
            address=f"10.0.{index // 250}.{index % 250}:9000",
            instance_id=self.instance_id,
            failure_domain_id=model.FailureDomainId(f"site-{domain}"),
            fabric_domain_id=model.FabricDomainId(domain),
            kind=model.BackendServerKind.MODEL_ENGINE,
            incarnation=1,
            sequence=1,
            accelerators=accelerators,
            checks_fencing=checks_fencing,
        )

    @property
    def accelerators(self) -> int:
        """Accelerators of the instance."""
        return self._announcement.accelerators

    @property
    def domain(self) -> model.FabricDomainId:
        """Fabric domain of the instance."""
        return self._announcement.fabric_domain_id

    @property
    def is_announcing(self) -> bool:
        """Whether the engine announces itself."""
        return self.is_running and not self.is_paused

    def set_state(self, state: model.BackendServerState) -> None:
        """Makes the engine announce that it is ready or leaving."""
        self._announcement = self._announcement.with_changes(state=state)

    def set_load(self, load: model.LoadReport) -> None:
        """Makes the engine announce another load."""
        self._announcement = self._announcement.with_changes(load=load)

    def rename_server(self, name: str) -> None:
        """Gives the backend server another id, as a new process may have."""
        self._announcement = self._announcement.with_changes(
            backend_server_id=model.BackendServerId(name)
        )

    def stop(self) -> None:
        """Ends the process; its memory is lost."""
        self.is_running = False

    def start(self) -> None:
        """Starts the process again with nothing loaded."""
        self.is_running = True
        self.is_paused = False
        self.order_executor = _orders.OrderExecutor(
            self.order_executor.checks_fencing
        )
        self._announcement = self._announcement.with_changes(
            incarnation=self._announcement.incarnation + 1, loaded=None
        )

    def announcement(self) -> model.Announcement:
        """Returns what the engine last announced, renewed if it speaks."""
        if (
            self.is_announcing
            and self._announcement.loaded is not self.order_executor.loaded
        ):
            self._announcement = self._announcement.with_changes(
                loaded=self.order_executor.loaded
            )
        return self._announcement


class Fleet:
    """Engines in fabric domains behind one weight store.

    Args:
        domains: Number of instances in each fabric domain.
        store: Limits of the weight store.
        checks_fencing: Whether each engine checks, by its index modulo the
            length.
        accelerators: Accelerators of each instance.
    """

    def __init__(
        self,
        domains: tuple[int, ...],
        store: WeightStoreLimits,
        checks_fencing: tuple[bool, ...] = (True,),
        accelerators: int = 8,
    ) -> None:
        self.store = store
        self.now_ms = 0
        names = [f"f{d:02}" for d, n in enumerate(domains) for _ in range(n)]
        self.engines = [
            Engine(
                index,
                name,
                checks_fencing[index % len(checks_fencing)],
                accelerators,
            )
            for index, name in enumerate(names)
        ]
        self.by_id = {e.instance_id: e for e in self.engines}

    def advance(self, duration_ms: int) -> None:
        """Moves time on; running loads share the weight store."""
        self.now_ms += duration_ms
        loading = [
            e
            for e in self.engines
            if e.is_announcing and e.order_executor.is_loading
        ]
        for engine in loading:
            share = self._rate(len(loading)) * duration_ms // clocks.MS_PER_S
            engine.order_executor.add_loaded_bytes(share)

    def next_load_end_ms(self) -> int | None:
        """Returns when the next load ends if nothing changes before."""
        loading = [
            e.order_executor.missing_bytes
            for e in self.engines
            if e.is_announcing and e.order_executor.is_loading
        ]
        if not loading:
            return None
        rate = self._rate(len(loading))
        return self.now_ms + -(-min(loading) * clocks.MS_PER_S // rate) + 1

    def members(self) -> Iterator[membership.Member]:
        """Yields what an entry knows: engines whose lease holds."""
        for engine in self.engines:
            if engine.is_announcing:
                engine.heard_ms = self.now_ms
            lease_end_ms = engine.heard_ms + LEASE_MS
            if lease_end_ms > self.now_ms:
                yield membership.Member(
                    engine.announcement(), engine.heard_ms, lease_end_ms
                )

    def deliver(self, send: placement.OutgoingOrder) -> placement.OrderState:
        """Hands an order to its engine and returns the answer."""
        engine = self.by_id[send.instance_id]
        if not engine.is_announcing:
            return placement.OrderState.UNANSWERED
        return engine.order_executor.execute(send.order).state

    def _rate(self, loads: int) -> int:
        fair = self.store.bytes_per_s // loads
        return min(fair, self.store.bytes_per_s_per_engine)
