"""Planned work: version and role changes, drains, and fewer replicas.

Planned work takes a serving replica out only after its requests are done,
one at a time for each service, and never below the declared floor.
"""

from collections.abc import Iterator

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _needs
from lagooncrank.core.placement import _pool

#: Time after which every entry has ended new work to a draining replica.
DRAIN_SETTLE_MS = 3_000

_State = model.ReplicaState


class Moves:
    """Plans moves for as long as one node leads."""

    def __init__(self) -> None:
        self._draining_since_ms: dict[model.ReplicaId, int] = {}

    def plan(
        self, fleet: _fleet.Fleet, changes: _changes.Changes
    ) -> tuple[results.Refusal, ...]:
        """Adds the next change of each move.

        Args:
            fleet: Replicas and instances at this step.
            changes: Changes of repair and formation, which go first.

        Returns:
            Why moves wait that would go below a declared floor.
        """
        self._note_draining(fleet)
        step = _Step(fleet, changes, self._draining_since_ms)
        for replica in fleet.holding:
            if not changes.has_changed(replica):
                step.advance(replica)
        for service in fleet.services.values():
            step.start_one(service)
        return tuple(step.refusals)

    def _note_draining(self, fleet: _fleet.Fleet) -> None:
        self._draining_since_ms = {
            r.replica_id: self._draining_since_ms.get(
                r.replica_id, fleet.now_ms
            )
            for r in fleet.holding
            if r.state is _State.DRAINING
        }


class _Step:
    def __init__(
        self,
        fleet: _fleet.Fleet,
        changes: _changes.Changes,
        draining_since_ms: dict[model.ReplicaId, int],
    ) -> None:
        self._fleet = fleet
        self._changes = changes
        self._draining_since_ms = draining_since_ms
        self._needs = _needs.Needs(fleet)
        self._pool = _pool.Pool(fleet, changes.claimed_instances())
        self.refusals: list[results.Refusal] = []

    def advance(self, replica: model.Replica) -> None:
        """Goes on with a replica that serves no requests."""
        if replica.state is _State.DRAINING:
            if self._is_drained(replica):
                self._finish(replica)
        elif not self._is_whole(replica):
            if self._has_reason(replica):
                self._finish(replica)
        elif replica.service not in self._fleet.services:
            self._changes.set_state(replica, _State.DRAINING)

    def start_one(self, service: model.ModelService) -> None:
        """Takes one replica out of service, or forms one beforehand."""
        candidates = [r for r in self._of(service) if self._has_reason(r)]
        if not candidates or self._is_busy(service):
            return
        surplus = [r for r in candidates if r in self._surplus(service)]
        if surplus or not self._form_beforehand(service):
            self._drain(service, (surplus or candidates)[0])

    def _drain(
        self, service: model.ModelService, replica: model.Replica
    ) -> None:
        whole = self._needs.whole(service)
        if whole > service.replicas_floor:
            self._changes.set_state(replica, _State.DRAINING)
            return
        reason = (
            f"replica {replica.replica_id!r} must change, but {whole} replicas "
            f"of service {service.name!r} serve and its floor is "
            f"{service.replicas_floor}; add instances for one replica more to "
            "a fabric domain, or lower replicas_floor"
        )
        self.refusals.append(
            results.Refusal(results.ResultCode.BELOW_FLOOR, reason)
        )

    def _form_beforehand(self, service: model.ModelService) -> bool:
        for domain in self._pool.domains():
            wanted = service.instances_per_replica
            found = self._pool.take(domain, service, wanted)
            if found:
                self._changes.create(service, found)
                return True
        return False

    def _finish(self, replica: model.Replica) -> None:
        service = self._fleet.services.get(replica.service)
        if service is None or replica in self._surplus(service):
            self._changes.end(replica, _State.DISSOLVED)
            return
        if not self._has_reason(replica):
            self._changes.set_state(replica, _State.SERVING)
            return
        ranks = tuple(self._drained_ranks(replica))
        domain = replica.fabric_domain_id
        found = self._pool.take(domain, service, len(ranks))
        if len(found) < len(ranks):
            self._changes.end(replica, _State.DISSOLVED)
            return
        replacements = dict(zip(ranks, found, strict=True))
        self._changes.reassign(replica, service, replacements)

    def _of(self, service: model.ModelService) -> Iterator[model.Replica]:
        """Yields the whole replicas of a service, those to change first."""
        replicas = [
            r
            for r in self._fleet.holding
            if r.service == service.name
            and not self._changes.has_changed(r)
            and self._is_whole(r)
        ]
        replicas.sort(key=lambda r: self._worth(r, service))
        yield from replicas

    def _is_busy(self, service: model.ModelService) -> bool:
        """Returns whether a replica of a service is on its way to serve."""
        return any(
            r.service == service.name
            and r.state is not _State.SERVING
            and not self._fleet.silent_ranks(r)
            for r in self._fleet.holding
        )

    def _has_reason(self, replica: model.Replica) -> bool:
        service = self._fleet.services.get(replica.service)
        if service is None or is_outdated(replica, service):
            return True
        if any(True for _ in self._drained_ranks(replica)):
            return True
        return replica in self._surplus(service)

    def _surplus(self, service: model.ModelService) -> list[model.Replica]:
        """Returns the replicas over the ceiling, worst first."""
        count = self._needs.held(service) - _needs.ceiling(service)
        if count <= 0:
            return []
        held = [r for r in self._fleet.holding if r.service == service.name]
        held.sort(key=lambda r: self._worth(r, service))
        return held[:count]

    def _worth(
        self, replica: model.Replica, service: model.ModelService
    ) -> tuple[bool, bool, bool, bool, bool, str]:
        return (
            not _needs.is_stuck(replica, self._fleet),
            not any(True for _ in self._drained_ranks(replica)),
            not is_outdated(replica, service),
            replica.state is not _State.DRAINING,
            self._is_whole(replica),
            replica.replica_id,
        )

    def _is_whole(self, replica: model.Replica) -> bool:
        return _needs.is_whole(replica, self._fleet)

    def _drained_ranks(self, replica: model.Replica) -> Iterator[int]:
        for rank, instance_id in enumerate(replica.instances):
            if instance_id in self._fleet.drained:
                yield rank

    def _is_drained(self, replica: model.Replica) -> bool:
        if self._fleet.silent_ranks(replica):
            return True
        since_ms = self._draining_since_ms[replica.replica_id]
        first = self._fleet.members(replica)[0]
        return first is not None and _is_idle(first, since_ms + DRAIN_SETTLE_MS)


def is_outdated(replica: model.Replica, service: model.ModelService) -> bool:
    """Returns whether a replica differs from what is declared now."""
    declared = (service.version, service.role, service.adapters)
    return (replica.version, replica.role, replica.adapters) != declared


def _is_idle(instance: _instances.Instance, settled_ms: int) -> bool:
    load = instance.announcement.load
    if instance.member.last_seen_ms - load.age_ms < settled_ms:
        return False
    return load.running == 0 and load.queued == 0
