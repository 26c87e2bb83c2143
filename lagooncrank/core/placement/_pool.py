"""Free instances that one planning step may still allocate."""

from collections.abc import Sequence

from lagooncrank import model
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances


class Pool:
    """Free instances by fabric domain, without those held down for flapping.

    Args:
        fleet: Replicas and instances at this step.
        claimed: Instances that this step has already allocated.
    """

    def __init__(
        self,
        fleet: _fleet.Fleet,
        claimed: frozenset[model.InstanceId] = frozenset(),
    ) -> None:
        self._free = {
            domain: [
                i
                for i in instances
                if i.instance_id not in claimed and _is_trusted(i, fleet)
            ]
            for domain, instances in fleet.free_by_domain().items()
        }

    def domains(self) -> tuple[model.FabricDomainId, ...]:
        """Returns the fabric domains that have free instances."""
        return tuple(d for d, instances in self._free.items() if instances)

    def count(
        self, domain: model.FabricDomainId, service: model.ModelService
    ) -> int:
        """Returns how many free instances of a domain fit a service."""
        return sum(fits(i, service) for i in self._free.get(domain, ()))

    def is_available(self, instance: _instances.Instance) -> bool:
        """Returns whether an instance may still be allocated."""
        domain = instance.announcement.fabric_domain_id
        return instance in self._free.get(domain, ())

    def allocate(
        self,
        domain: model.FabricDomainId,
        service: model.ModelService,
        count: int,
    ) -> Sequence[_instances.Instance]:
        """Allocates `count` fitting instances, or none if there are fewer."""
        fitting = [i for i in self._free.get(domain, ()) if fits(i, service)]
        if len(fitting) < count:
            return ()
        chosen = fitting[:count]
        self.remove(chosen)
        return chosen

    def remove(self, instances: Sequence[_instances.Instance]) -> None:
        """Removes allocated instances from the pool."""
        removed = {i.instance_id for i in instances}
        for domain in {i.announcement.fabric_domain_id for i in instances}:
            self._free[domain] = [
                i for i in self._free[domain] if i.instance_id not in removed
            ]


def fits(instance: _instances.Instance, service: model.ModelService) -> bool:
    """Returns whether an instance has enough accelerators for a service."""
    announced = instance.announcement.accelerators
    return announced >= service.accelerators_per_instance


def _is_trusted(instance: _instances.Instance, fleet: _fleet.Fleet) -> bool:
    until_ms = instance.held_down_until_ms(fleet.rules.hold_down_ms)
    return until_ms <= fleet.now_ms
