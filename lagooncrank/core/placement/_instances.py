"""Instances with model engines, as seen by the current leader."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.core import membership

#: Losses of one instance within the window from which it counts as flapping.
FLAP_LOSSES = 2
#: Length of the window, as a multiple of the declared hold-down.
FLAP_WINDOW_HOLD_DOWNS = 10


@dataclasses.dataclass(slots=True, eq=False)
class Instance:
    """State and loss history of one instance."""

    instance_id: model.InstanceId
    #: Latest membership record, kept after its lease has expired.
    member: membership.Member
    #: Latest announcement of the instance's model engine.
    announcement: model.Announcement
    #: Whether the lease is valid and the instance is not leaving.
    is_ready: bool
    #: When the lease expired, or None while it is valid.
    lease_expired_ms: int | None = None
    #: Times of lease expiries and restarts, oldest first.
    loss_times_ms: tuple[int, ...] = ()

    @classmethod
    def from_member(cls, member: membership.Member) -> "Instance":
        """Creates an instance from its first announcement."""
        announcement = member.announcement
        ready = announcement.state is model.BackendServerState.READY
        return cls(announcement.instance_id, member, announcement, ready)

    @property
    def has_lease(self) -> bool:
        """Whether the lease of the instance is valid."""
        return self.lease_expired_ms is None

    def refresh(self, member: membership.Member, now_ms: int) -> None:
        """Updates the instance from a later announcement."""
        self.member = member
        announcement = member.announcement
        if announcement is self.announcement and self.has_lease:
            return
        restarted = announcement.incarnation > self.announcement.incarnation
        if restarted and self.has_lease:
            self.loss_times_ms += (now_ms,)
        self.announcement = announcement
        self.is_ready = announcement.state is model.BackendServerState.READY
        self.lease_expired_ms = None

    def expire_lease(self, now_ms: int) -> None:
        """Records that the lease has expired."""
        self.lease_expired_ms = min(now_ms, self.member.lease_end_ms)
        self.loss_times_ms += (now_ms,)
        self.is_ready = False

    def held_down_until_ms(self, hold_down_ms: int) -> int:
        """Returns the end of a flapping instance's hold-down, 0 if none.

        Args:
            hold_down_ms: Declared hold-down after the second loss. It doubles
                with each further loss in the window, at most four times.
        """
        if len(self.loss_times_ms) < FLAP_LOSSES:
            return 0
        doublings = min(len(self.loss_times_ms) - FLAP_LOSSES, 4)
        return self.loss_times_ms[-1] + (hold_down_ms << doublings)


class InstanceTable:
    """Instances seen since this node became leader."""

    def __init__(self) -> None:
        self._instances: dict[model.InstanceId, Instance] = {}

    def __iter__(self) -> Iterator[Instance]:
        return iter(self._instances.values())

    def get(self, instance_id: model.InstanceId) -> Instance | None:
        """Returns an instance, whether or not its lease is valid."""
        return self._instances.get(instance_id)

    def observe(
        self,
        members: Iterable[membership.Member],
        hold_down_ms: int,
        now_ms: int,
    ) -> None:
        """Updates the table from the backend servers that are live now.

        Args:
            members: Backend servers whose lease is valid.
            hold_down_ms: Declared hold-down of flapping instances.
            now_ms: Monotonic time of the leader.
        """
        live = self._refresh_all(members, now_ms)
        since_ms = now_ms - hold_down_ms * FLAP_WINDOW_HOLD_DOWNS
        for instance_id, instance in self._instances.items():
            if instance.lease_expired_ms is None and instance_id not in live:
                instance.expire_lease(now_ms)
            if instance.loss_times_ms and instance.loss_times_ms[0] <= since_ms:
                instance.loss_times_ms = tuple(
                    ms for ms in instance.loss_times_ms if ms > since_ms
                )

    def evict_expired(self, retention_ms: int, now_ms: int) -> None:
        """Drops instances whose lease expired `retention_ms` ago or earlier."""
        limit_ms = now_ms - retention_ms
        expired = [
            i.instance_id
            for i in self._instances.values()
            if i.lease_expired_ms is not None and i.lease_expired_ms <= limit_ms
        ]
        for instance_id in expired:
            del self._instances[instance_id]

    def _refresh_all(
        self, members: Iterable[membership.Member], now_ms: int
    ) -> set[model.InstanceId]:
        live = self._engines_by_instance(members)
        for instance_id, member in live.items():
            instance = self._instances.get(instance_id)
            if instance is None:
                new = Instance.from_member(member)
                self._instances[instance_id] = new
            else:
                instance.refresh(member, now_ms)
        return set(live)

    def _engines_by_instance(
        self, members: Iterable[membership.Member]
    ) -> dict[model.InstanceId, membership.Member]:
        """Returns one live model engine for each instance.

        If several engines announce the same instance, the engine that the
        table already holds takes precedence.
        """
        engines: dict[model.InstanceId, membership.Member] = {}
        for member in members:
            announcement = member.announcement
            if announcement.kind is not model.BackendServerKind.MODEL_ENGINE:
                continue
            instance_id = announcement.instance_id
            if instance_id in engines and not self._is_known(announcement):
                continue
            engines[instance_id] = member
        return engines

    def _is_known(self, announcement: model.Announcement) -> bool:
        instance = self._instances.get(announcement.instance_id)
        if instance is None:
            return False
        known = instance.announcement.backend_server_id
        return announcement.backend_server_id == known
