"""Instances with model engines, as the leader has seen them so far."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.core import membership

#: Losses of one instance within the window that make it a flapping one.
FLAP_LOSSES = 2
#: Length of the window, as a multiple of the declared hold-down.
FLAP_WINDOW_HOLD_DOWNS = 10


@dataclasses.dataclass(slots=True, eq=False)
class Instance:
    """What the leader remembers of one instance."""

    instance_id: model.InstanceId
    #: Latest announcement, also after its lease ended.
    member: membership.Member
    #: What the instance's model engine said last.
    announcement: model.Announcement
    #: Whether the instance is heard and not leaving.
    is_ready: bool
    #: When the lease ended, or None while the instance is heard.
    silent_since_ms: int | None = None
    #: When the instance was lost or restarted, oldest first.
    losses_ms: tuple[int, ...] = ()

    @classmethod
    def from_member(cls, member: membership.Member) -> "Instance":
        """Returns what the first word of an instance tells."""
        announcement = member.announcement
        ready = announcement.state is model.BackendServerState.READY
        return cls(announcement.instance_id, member, announcement, ready)

    @property
    def is_heard(self) -> bool:
        """Whether the lease of the instance holds."""
        return self.silent_since_ms is None

    def hear(self, member: membership.Member, now_ms: int) -> None:
        """Takes a later word of the instance."""
        self.member = member
        announcement = member.announcement
        if announcement is self.announcement and self.is_heard:
            return
        restarted = announcement.incarnation > self.announcement.incarnation
        if restarted and self.is_heard:
            self.losses_ms += (now_ms,)
        self.announcement = announcement
        self.is_ready = announcement.state is model.BackendServerState.READY
        self.silent_since_ms = None

    def lose(self, now_ms: int) -> None:
        """Notes that the lease ended."""
        self.silent_since_ms = min(now_ms, self.member.lease_end_ms)
        self.losses_ms += (now_ms,)
        self.is_ready = False

    def held_down_until_ms(self, hold_down_ms: int) -> int:
        """Returns when a flapping instance is trusted again.

        Args:
            hold_down_ms: Declared wait after the second loss; it doubles
                with each further loss in the window.
        """
        if len(self.losses_ms) < FLAP_LOSSES:
            return 0
        doublings = min(len(self.losses_ms) - FLAP_LOSSES, 4)
        return self.losses_ms[-1] + (hold_down_ms << doublings)


class InstanceTable:
    """Remembers every instance since this node became leader."""

    def __init__(self) -> None:
        self._instances: dict[model.InstanceId, Instance] = {}

    def __iter__(self) -> Iterator[Instance]:
        return iter(self._instances.values())

    def get(self, instance_id: model.InstanceId) -> Instance | None:
        """Returns what is known of an instance, heard or silent."""
        return self._instances.get(instance_id)

    def observe(
        self,
        members: Iterable[membership.Member],
        hold_down_ms: int,
        now_ms: int,
    ) -> None:
        """Takes the backend servers that are heard now.

        Args:
            members: Backend servers whose lease holds.
            hold_down_ms: Declared hold-down of flapping instances.
            now_ms: Monotonic time of the leader, in milliseconds.
        """
        heard = self._hear_all(members, now_ms)
        since_ms = now_ms - hold_down_ms * FLAP_WINDOW_HOLD_DOWNS
        for instance_id, instance in self._instances.items():
            if instance.silent_since_ms is None and instance_id not in heard:
                instance.lose(now_ms)
            if instance.losses_ms and instance.losses_ms[0] <= since_ms:
                instance.losses_ms = tuple(
                    ms for ms in instance.losses_ms if ms > since_ms
                )

    def forget(self, silent_ms: int, now_ms: int) -> None:
        """Drops instances that have been silent for `silent_ms` or longer."""
        limit_ms = now_ms - silent_ms
        gone = [
            i.instance_id
            for i in self._instances.values()
            if i.silent_since_ms is not None and i.silent_since_ms <= limit_ms
        ]
        for instance_id in gone:
            del self._instances[instance_id]

    def _hear_all(
        self, members: Iterable[membership.Member], now_ms: int
    ) -> set[model.InstanceId]:
        heard = self._one_for_each(members)
        for instance_id, member in heard.items():
            instance = self._instances.get(instance_id)
            if instance is None:
                new = Instance.from_member(member)
                self._instances[instance_id] = new
            else:
                instance.hear(member, now_ms)
        return set(heard)

    def _one_for_each(
        self, members: Iterable[membership.Member]
    ) -> dict[model.InstanceId, membership.Member]:
        """Returns one model engine for each instance, a known one if heard."""
        found: dict[model.InstanceId, membership.Member] = {}
        for member in members:
            announcement = member.announcement
            if announcement.kind is not model.BackendServerKind.MODEL_ENGINE:
                continue
            instance_id = announcement.instance_id
            if instance_id in found and not self._is_known(announcement):
                continue
            found[instance_id] = member
        return found

    def _is_known(self, announcement: model.Announcement) -> bool:
        instance = self._instances.get(announcement.instance_id)
        if instance is None:
            return False
        known = instance.announcement.backend_server_id
        return announcement.backend_server_id == known
