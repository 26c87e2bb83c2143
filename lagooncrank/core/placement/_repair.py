"""Repairs replicas with members that are not ready."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _pool
from lagooncrank.core.placement import _priority
from lagooncrank.core.placement import _returning_members

_State = model.ReplicaState


@dataclasses.dataclass(frozen=True, slots=True)
class _IncompleteReplica:
    replica: model.Replica
    service: model.ModelService
    #: Ranks whose member should be replaced now.
    overdue: tuple[int, ...]
    #: Ranks without a ready member, overdue or not.
    unready: tuple[int, ...]
    priority: _priority.ReplicaPriority

    def sort_key(self) -> tuple[int, int, str]:
        """Sort key: highest priority first, then fewest unready members."""
        return (self.priority, len(self.unready), self.replica.replica_id)


class Repair:
    """Replaces overdue members, or terminates replicas to repair others.

    Args:
        fleet: Replicas and instances at this step.
        counts: Assigned and fully serving replicas of each service.
        pool: Free instances.
        changes: Receives the changes.
        returning_members: Receives the members that a repair replaces.
    """

    def __init__(
        self,
        fleet: _fleet.Fleet,
        counts: _priority.ReplicaCounts,
        pool: _pool.Pool,
        changes: _changes.Changes,
        returning_members: _returning_members.ReturningMembers,
    ) -> None:
        self._fleet = fleet
        self._counts = counts
        self._pool = pool
        self._changes = changes
        self._returning_members = returning_members

    def run(self) -> None:
        """Repairs as many replicas as possible, highest priority first."""
        incomplete = sorted(
            self._incomplete_replicas(), key=_IncompleteReplica.sort_key
        )
        unrepaired = [
            r for r in incomplete if r.overdue and not self._fill_from_pool(r)
        ]
        self._repair_from_donors(unrepaired)

    def _incomplete_replicas(self) -> Iterator[_IncompleteReplica]:
        for replica in self._fleet.active_replicas:
            service = self._fleet.services.get(replica.service)
            unready = self._fleet.unready_ranks(replica)
            if service is None or not unready:
                continue
            if replica.state is _State.DRAINING:
                continue
            if self._changes.has_changed(replica):
                continue
            yield _IncompleteReplica(
                replica=replica,
                service=service,
                overdue=tuple(self._overdue_ranks(replica, unready)),
                unready=unready,
                priority=self._counts.repair_priority(replica),
            )

    def _overdue_ranks(
        self, replica: model.Replica, unready: Iterable[int]
    ) -> Iterator[int]:
        members = self._fleet.members(replica)
        for rank in unready:
            if _priority.is_overdue(members[rank], self._fleet):
                yield rank

    def _fill_from_pool(self, incomplete: _IncompleteReplica) -> bool:
        domain = incomplete.replica.fabric_domain_id
        instances = self._pool.allocate(
            domain, incomplete.service, len(incomplete.overdue)
        )
        if not instances:
            return False
        self._replace(incomplete, instances)
        return True

    def _repair_from_donors(self, unrepaired: list[_IncompleteReplica]) -> None:
        """Terminates low-priority replicas to repair others from them."""
        while unrepaired:
            receiver = unrepaired.pop(0)
            donor = self._donor_for(receiver, unrepaired)
            if donor is not None:
                unrepaired.remove(donor)
                self._repair_from_donor(donor, receiver)

    def _donor_for(
        self, receiver: _IncompleteReplica, candidates: list[_IncompleteReplica]
    ) -> _IncompleteReplica | None:
        domain = receiver.replica.fabric_domain_id
        free = self._pool.count(domain, receiver.service)
        for donor in reversed(candidates):
            if donor.replica.fabric_domain_id != domain:
                continue
            if free + len(self._usable_members(donor, receiver.service)) >= len(
                receiver.overdue
            ):
                return donor
        return None

    def _usable_members(
        self, donor: _IncompleteReplica, service: model.ModelService
    ) -> list[_instances.Instance]:
        return [
            member
            for member in self._fleet.members(donor.replica)
            if member is not None
            and member.is_ready
            and member.instance_id not in self._fleet.drained
            and _pool.fits(member, service)
        ]

    def _repair_from_donor(
        self, donor: _IncompleteReplica, receiver: _IncompleteReplica
    ) -> None:
        self._changes.terminate(donor.replica, _State.LOST)
        domain = receiver.replica.fabric_domain_id
        free = self._pool.count(domain, receiver.service)
        count = min(free, len(receiver.overdue))
        instances = list(self._pool.allocate(domain, receiver.service, count))
        donated = self._usable_members(donor, receiver.service)
        instances += donated[: len(receiver.overdue) - count]
        self._replace(receiver, instances)

    def _replace(
        self,
        incomplete: _IncompleteReplica,
        instances: Sequence[_instances.Instance],
    ) -> None:
        members = self._fleet.members(incomplete.replica)
        for rank in incomplete.overdue:
            member = members[rank]
            if member is not None:
                self._returning_members.record_replaced(
                    incomplete.replica, rank, member
                )
        replacements = dict(zip(incomplete.overdue, instances, strict=True))
        self._changes.reassign(
            incomplete.replica, incomplete.service, replacements
        )
