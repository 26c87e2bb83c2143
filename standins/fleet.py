"""Simulated model engines on a manual clock, for the placement core.

Engines announce themselves, execute orders and share one weight store. There
is no network: the caller decides which orders reach an engine, and when.
"""

from collections.abc import Iterator
import dataclasses

from lagooncrank import clock as clocks
from lagooncrank import model
from lagooncrank.core import membership
from lagooncrank.core import placement
from standins import _orders

#: Lease of an engine's newest announcement.
LEASE_MS = 2_500


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreLimits:
    """Throughput limits of the weight store."""

    bytes_per_s: int
    #: Highest rate at which one engine can load.
    bytes_per_s_per_engine: int


class Engine:
    """One instance with one engine that can stop, pause and start again.

    Args:
        index: Number that the ids and the address are derived from.
        fabric_domain: Fabric domain of the instance.
        checks_fencing: Whether orders with an old fencing number are refused.
        accelerators: Number of accelerators of the instance.
    """

    def __init__(
        self,
        index: int,
        fabric_domain: str,
        checks_fencing: bool,
        accelerators: int,
    ) -> None:
        self.instance_id = model.InstanceId(f"i{index:05}")
        self.order_executor = _orders.OrderExecutor(checks_fencing)
        self.is_running = True
        self.is_paused = False
        #: Time of the newest announcement.
        self.last_seen_ms = 0
        self._announcement = model.Announcement(
            backend_server_id=model.BackendServerId(f"b{index:05}"),
            address=f"10.0.{index // 250}.{index % 250}:9000",
            instance_id=self.instance_id,
            failure_domain_id=model.FailureDomainId(f"site-{fabric_domain}"),
            fabric_domain_id=model.FabricDomainId(fabric_domain),
            kind=model.BackendServerKind.MODEL_ENGINE,
            incarnation=1,
            sequence=1,
            accelerators=accelerators,
            checks_fencing=checks_fencing,
        )

    @property
    def accelerators(self) -> int:
        """Number of accelerators of the instance."""
        return self._announcement.accelerators

    @property
    def domain(self) -> model.FabricDomainId:
        """Fabric domain of the instance."""
        return self._announcement.fabric_domain_id

    @property
    def is_announcing(self) -> bool:
        """Whether the process is running and not paused."""
        return self.is_running and not self.is_paused

    def set_state(self, state: model.BackendServerState) -> None:
        """Makes the engine announce that it is ready or leaving."""
        self._announcement = self._announcement.with_changes(state=state)

    def set_load(self, load: model.LoadReport) -> None:
        """Makes the engine announce another load."""
        self._announcement = self._announcement.with_changes(load=load)

    def rename_server(self, name: str) -> None:
        """Changes the backend server's id, as a new process may do."""
        self._announcement = self._announcement.with_changes(
            backend_server_id=model.BackendServerId(name)
        )

    def stop(self) -> None:
        """Stops the process; `start` discards its memory."""
        self.is_running = False

    def start(self) -> None:
        """Starts the process again, with a new incarnation and no model."""
        self.is_running = True
        self.is_paused = False
        self.order_executor = _orders.OrderExecutor(
            self.order_executor.checks_fencing
        )
        self._announcement = self._announcement.with_changes(
            incarnation=self._announcement.incarnation + 1, loaded=None
        )

    def announcement(self) -> model.Announcement:
        """Returns the newest announcement, up to date if it is announcing."""
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
        checks_fencing: Whether an engine refuses orders with an old fencing
            number, by the engine's index modulo the length.
        accelerators: Number of accelerators of each instance.
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
        fabric_domains = [
            f"f{domain:02}"
            for domain, count in enumerate(domains)
            for _ in range(count)
        ]
        self.engines = [
            Engine(
                index,
                fabric_domain,
                checks_fencing[index % len(checks_fencing)],
                accelerators,
            )
            for index, fabric_domain in enumerate(fabric_domains)
        ]
        self.by_id = {e.instance_id: e for e in self.engines}

    def advance(self, duration_ms: int) -> None:
        """Advances the time; running loads share the weight store."""
        self.now_ms += duration_ms
        loading = [
            e
            for e in self.engines
            if e.is_announcing and e.order_executor.is_loading
        ]
        for engine in loading:
            loaded_bytes = (
                self._bytes_per_s(len(loading)) * duration_ms // clocks.MS_PER_S
            )
            engine.order_executor.add_loaded_bytes(loaded_bytes)

    def next_load_end_ms(self) -> int | None:
        """Returns when the next load ends if no other load starts or stops.

        Returns:
            The time on the fleet's clock; None without a running load.
        """
        loading = [
            e.order_executor.missing_bytes
            for e in self.engines
            if e.is_announcing and e.order_executor.is_loading
        ]
        if not loading:
            return None
        rate = self._bytes_per_s(len(loading))
        return self.now_ms + -(-min(loading) * clocks.MS_PER_S // rate) + 1

    def members(self) -> Iterator[membership.Member]:
        """Yields the members that an entry knows: those with a valid lease."""
        for engine in self.engines:
            if engine.is_announcing:
                engine.last_seen_ms = self.now_ms
            lease_end_ms = engine.last_seen_ms + LEASE_MS
            if lease_end_ms > self.now_ms:
                yield membership.Member(
                    engine.announcement(), engine.last_seen_ms, lease_end_ms
                )

    def deliver(
        self, outgoing: placement.OutgoingOrder
    ) -> placement.OrderState:
        """Delivers an order to its engine and returns the order's state."""
        engine = self.by_id[outgoing.instance_id]
        if not engine.is_announcing:
            return placement.OrderState.UNANSWERED
        return engine.order_executor.execute(outgoing.order).state

    def _bytes_per_s(self, load_count: int) -> int:
        fair_share = self.store.bytes_per_s // load_count
        return min(fair_share, self.store.bytes_per_s_per_engine)
