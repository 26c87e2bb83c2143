"""Repairs replicas that miss members."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _needs
from lagooncrank.core.placement import _pool
from lagooncrank.core.placement import _returns

_State = model.ReplicaState


@dataclasses.dataclass(frozen=True, slots=True)
class _Broken:
    replica: model.Replica
    service: model.ModelService
    #: Ranks whose member is gone for longer than the wait allows.
    due: tuple[int, ...]
    #: Ranks without a ready member, due or not.
    silent: tuple[int, ...]
    need: _needs.Need

    def order(self) -> tuple[int, int, str]:
        """Sorts the most needed and least broken replica first."""
        return (self.need, len(self.silent), self.replica.replica_id)


class Repair:
    """Fills the places of missing members, or gives a replica up.

    Args:
        fleet: Replicas and instances at this step.
        needs: Whole and held replicas of each service.
        pool: Free instances.
        changes: Receives the changes.
        returns: Is told whom a repair replaces.
    """

    def __init__(
        self,
        fleet: _fleet.Fleet,
        needs: _needs.Needs,
        pool: _pool.Pool,
        changes: _changes.Changes,
        returns: _returns.Returns,
    ) -> None:
        self._fleet = fleet
        self._needs = needs
        self._pool = pool
        self._changes = changes
        self._returns = returns

    def run(self) -> None:
        """Repairs what can be repaired, the most needed replica first."""
        broken = sorted(self._broken(), key=_Broken.order)
        unfilled = [b for b in broken if b.due and not self._fill(b)]
        self._break_up(unfilled)

    def _broken(self) -> Iterator[_Broken]:
        for replica in self._fleet.holding:
            service = self._fleet.services.get(replica.service)
            silent = self._fleet.silent_ranks(replica)
            if service is None or not silent:
                continue
            if replica.state is _State.DRAINING:
                continue
            if self._changes.has_changed(replica):
                continue
            yield _Broken(
                replica=replica,
                service=service,
                due=tuple(self._due(replica, silent)),
                silent=silent,
                need=self._needs.of(replica),
            )

    def _due(
        self, replica: model.Replica, silent: Iterable[int]
    ) -> Iterator[int]:
        members = self._fleet.members(replica)
        for rank in silent:
            if _needs.is_overdue(members[rank], self._fleet):
                yield rank

    def _fill(self, broken: _Broken) -> bool:
        domain = broken.replica.fabric_domain_id
        found = self._pool.take(domain, broken.service, len(broken.due))
        if not found:
            return False
        self._replace(broken, found)
        return True

    def _break_up(self, unfilled: list[_Broken]) -> None:
        """Gives up the worst replicas where their members heal better ones."""
        while unfilled:
            best = unfilled.pop(0)
            donor = self._donor_for(best, unfilled)
            if donor is not None:
                unfilled.remove(donor)
                self._give(donor, best)

    def _donor_for(
        self, best: _Broken, others: list[_Broken]
    ) -> _Broken | None:
        domain = best.replica.fabric_domain_id
        free = self._pool.count(domain, best.service)
        for other in reversed(others):
            if other.replica.fabric_domain_id != domain:
                continue
            if free + len(self._usable(other, best.service)) >= len(best.due):
                return other
        return None

    def _usable(
        self, donor: _Broken, service: model.ModelService
    ) -> list[_instances.Instance]:
        return [
            member
            for member in self._fleet.members(donor.replica)
            if member is not None
            and member.is_ready
            and member.instance_id not in self._fleet.drained
            and _pool.fits(member, service)
        ]

    def _give(self, donor: _Broken, best: _Broken) -> None:
        self._changes.end(donor.replica, _State.LOST)
        domain = best.replica.fabric_domain_id
        free = self._pool.count(domain, best.service)
        count = min(free, len(best.due))
        found = list(self._pool.take(domain, best.service, count))
        given = self._usable(donor, best.service)
        found += given[: len(best.due) - count]
        self._replace(best, found)

    def _replace(
        self, broken: _Broken, found: Sequence[_instances.Instance]
    ) -> None:
        members = self._fleet.members(broken.replica)
        for rank in broken.due:
            member = members[rank]
            if member is not None:
                self._returns.note(broken.replica, rank, member)
        replacements = dict(zip(broken.due, found, strict=True))
        self._changes.reassign(broken.replica, broken.service, replacements)
