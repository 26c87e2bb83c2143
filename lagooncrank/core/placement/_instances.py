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


@dataclasses.dataclass(slots=True)
class Instance:
    """What the leader remembers of one instance."""

    #: Latest announcement, also after its lease ended.
    member: membership.Member
    #: When the lease ended, or None while the instance is heard.
    silent_since_ms: int | None = None
    #: When the instance was first heard since it was last silent.
    heard_since_ms: int = 0
    #: When the instance was lost or restarted, oldest first.
    losses_ms: tuple[int, ...] = ()

    @property
    def announcement(self) -> model.Announcement:
        """What the instance's model engine said last."""
        return self.member.announcement

    @property
    def instance_id(self) -> model.InstanceId:
        """Identifier of the instance."""
        return self.announcement.instance_id

    @property
    def is_heard(self) -> bool:
        """Whether the lease of the instance holds."""
        return self.silent_since_ms is None

    @property
    def is_ready(self) -> bool:
        """Whether the instance is heard and not leaving."""
        ready = model.BackendServerState.READY
        return self.is_heard and self.announcement.state is ready

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
        heard = set()
        engine = model.BackendServerKind.MODEL_ENGINE
        for member in members:
            if member.announcement.kind is engine:
                heard.add(member.announcement.instance_id)
                self._heard(member, now_ms)
        window_ms = hold_down_ms * FLAP_WINDOW_HOLD_DOWNS
        for instance in self._instances.values():
            if instance.instance_id not in heard and instance.is_heard:
                self._lost(instance, now_ms)
            instance.losses_ms = tuple(
                ms for ms in instance.losses_ms if ms > now_ms - window_ms
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

    def _heard(self, member: membership.Member, now_ms: int) -> None:
        instance_id = member.announcement.instance_id
        instance = self._instances.get(instance_id)
        if instance is None:
            self._instances[instance_id] = Instance(
                member, heard_since_ms=now_ms
            )
            return
        before = instance.announcement.incarnation
        restarted = member.announcement.incarnation > before
        if restarted and instance.is_heard:
            instance.losses_ms += (now_ms,)
        if not instance.is_heard:
            instance.heard_since_ms = now_ms
        instance.member = member
        instance.silent_since_ms = None

    def _lost(self, instance: Instance, now_ms: int) -> None:
        instance.silent_since_ms = min(now_ms, instance.member.lease_end_ms)
        instance.losses_ms += (now_ms,)
