"""Planned changes: new versions, roles or adapters, drains, and scale-down.

A planned change takes a serving replica out of service only after its
requests have finished, one replica of each service at a time, and never below
the declared floor.
"""

from collections.abc import Iterator

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances
from lagooncrank.core.placement import _pool
from lagooncrank.core.placement import _priority

#: Time within which every entry stops sending new requests to a draining
#: replica.
DRAIN_SETTLE_MS = 3_000

_State = model.ReplicaState


class PlannedChanges:
    """Schedules planned changes during one leadership."""

    def __init__(self) -> None:
        self._draining_since_ms: dict[model.ReplicaId, int] = {}

    def plan(
        self, fleet: _fleet.Fleet, changes: _changes.Changes
    ) -> tuple[results.Refusal, ...]:
        """Adds the next step of each planned change.

        Args:
            fleet: Replicas and instances at this step.
            changes: Changes by repair and formation, which take precedence.

        Returns:
            Refusals of changes that would go below a declared floor.
        """
        self._track_draining(fleet)
        step = _PlannedChangeStep(fleet, changes, self._draining_since_ms)
        for replica in fleet.active_replicas:
            if not changes.has_changed(replica):
                step.advance(replica)
        for service in fleet.services.values():
            step.start_next(service)
        return tuple(step.refusals)

    def _track_draining(self, fleet: _fleet.Fleet) -> None:
        self._draining_since_ms = {
            r.replica_id: self._draining_since_ms.get(
                r.replica_id, fleet.now_ms
            )
            for r in fleet.active_replicas
            if r.state is _State.DRAINING
        }


class _PlannedChangeStep:
    """Advances and starts the planned changes of one planning step."""

    def __init__(
        self,
        fleet: _fleet.Fleet,
        changes: _changes.Changes,
        draining_since_ms: dict[model.ReplicaId, int],
    ) -> None:
        self._fleet = fleet
        self._changes = changes
        self._draining_since_ms = draining_since_ms
        self._counts = _priority.ReplicaCounts(fleet)
        self._pool = _pool.Pool(fleet, changes.claimed_instances())
        self.refusals: list[results.Refusal] = []

    def advance(self, replica: model.Replica) -> None:
        """Continues a change, or drains a replica of a removed service."""
        if replica.state is _State.DRAINING:
            if self._is_drained(replica):
                self._apply_change(replica)
        elif not self._is_fully_serving(replica):
            if self._must_change(replica):
                self._apply_change(replica)
        elif replica.service not in self._fleet.services:
            self._changes.set_state(replica, _State.DRAINING)

    def start_next(self, service: model.ModelService) -> None:
        """Starts the next change: forms a replacement or drains a replica."""
        candidates = [
            r
            for r in self._fully_serving_replicas(service)
            if self._must_change(r)
        ]
        if not candidates or self._has_pending_replica(service):
            return
        surplus = [r for r in candidates if r in self._surplus(service)]
        if surplus or not self._form_replacement(service):
            self._drain(service, (surplus or candidates)[0])

    def _drain(
        self, service: model.ModelService, replica: model.Replica
    ) -> None:
        serving = self._counts.fully_serving(service)
        if serving > service.replicas_floor:
            self._changes.set_state(replica, _State.DRAINING)
            return
        reason = (
            f"replica {replica.replica_id!r} has a pending change, but only "
            f"{serving} replicas of service {service.name!r} are serving and "
            f"replicas_floor is {service.replicas_floor}; add instances for "
            "one more replica to a fabric domain, or lower replicas_floor"
        )
        self.refusals.append(
            results.Refusal(results.ResultCode.BELOW_FLOOR, reason)
        )

    def _form_replacement(self, service: model.ModelService) -> bool:
        for domain in self._pool.domains():
            required = service.instances_per_replica
            instances = self._pool.allocate(domain, service, required)
            if instances:
                self._changes.create(service, instances)
                return True
        return False

    def _apply_change(self, replica: model.Replica) -> None:
        service = self._fleet.services.get(replica.service)
        if service is None or replica in self._surplus(service):
            self._changes.terminate(replica, _State.DISSOLVED)
            return
        if not self._must_change(replica):
            self._changes.set_state(replica, _State.SERVING)
            return
        ranks = tuple(self._drained_ranks(replica))
        domain = replica.fabric_domain_id
        instances = self._pool.allocate(domain, service, len(ranks))
        if len(instances) < len(ranks):
            self._changes.terminate(replica, _State.DISSOLVED)
            return
        replacements = dict(zip(ranks, instances, strict=True))
        self._changes.reassign(replica, service, replacements)

    def _fully_serving_replicas(
        self, service: model.ModelService
    ) -> Iterator[model.Replica]:
        """Yields the fully serving replicas in the order to change them."""
        replicas = [
            r
            for r in self._fleet.active_replicas
            if r.service == service.name
            and not self._changes.has_changed(r)
            and self._is_fully_serving(r)
        ]
        replicas.sort(key=lambda r: self._retirement_order(r, service))
        yield from replicas

    def _has_pending_replica(self, service: model.ModelService) -> bool:
        """Returns whether a replica with ready members is not yet serving."""
        return any(
            r.service == service.name
            and r.state is not _State.SERVING
            and not self._fleet.unready_ranks(r)
            for r in self._fleet.active_replicas
        )

    def _must_change(self, replica: model.Replica) -> bool:
        service = self._fleet.services.get(replica.service)
        if service is None or is_outdated(replica, service):
            return True
        if any(True for _ in self._drained_ranks(replica)):
            return True
        return replica in self._surplus(service)

    def _surplus(self, service: model.ModelService) -> list[model.Replica]:
        """Returns the replicas above the limit in the order to retire them."""
        count = self._counts.assigned(service) - _priority.replica_limit(
            service
        )
        if count <= 0:
            return []
        assigned = [
            r for r in self._fleet.active_replicas if r.service == service.name
        ]
        assigned.sort(key=lambda r: self._retirement_order(r, service))
        return assigned[:count]

    def _retirement_order(
        self, replica: model.Replica, service: model.ModelService
    ) -> tuple[bool, bool, bool, bool, bool, str]:
        return (
            not _priority.has_overdue_member(replica, self._fleet),
            not any(True for _ in self._drained_ranks(replica)),
            not is_outdated(replica, service),
            replica.state is not _State.DRAINING,
            self._is_fully_serving(replica),
            replica.replica_id,
        )

    def _is_fully_serving(self, replica: model.Replica) -> bool:
        return _priority.is_fully_serving(replica, self._fleet)

    def _drained_ranks(self, replica: model.Replica) -> Iterator[int]:
        for rank, instance_id in enumerate(replica.instances):
            if instance_id in self._fleet.drained:
                yield rank

    def _is_drained(self, replica: model.Replica) -> bool:
        if self._fleet.unready_ranks(replica):
            return True
        since_ms = self._draining_since_ms[replica.replica_id]
        first = self._fleet.members(replica)[0]
        return first is not None and _is_idle(first, since_ms + DRAIN_SETTLE_MS)


def is_outdated(replica: model.Replica, service: model.ModelService) -> bool:
    """Returns whether a replica differs from the current declarations."""
    declared = (service.version, service.role, service.adapters)
    return (replica.version, replica.role, replica.adapters) != declared


def _is_idle(instance: _instances.Instance, settled_ms: int) -> bool:
    load = instance.announcement.load
    if instance.member.last_seen_ms - load.age_ms < settled_ms:
        return False
    return load.running == 0 and load.queued == 0
