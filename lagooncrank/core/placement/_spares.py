"""Compares the cost of idle spares with the use of a surplus replica."""

from collections.abc import Iterable

from lagooncrank import model
from lagooncrank.core.placement import _fleet

#: Assumed mean time between two losses of one instance: one week.
LOSS_INTERVAL_S = 604_800


def spares_to_hold(
    fleet: _fleet.Fleet, service: model.ModelService, domain_size: int
) -> int:
    """Returns how many instances a surplus replica must leave free.

    Spares shorten the repair after each loss in their fabric domain by the
    time to load a whole replica, while a surplus replica would use the
    accelerators all the time. The declared number of spares is held only
    while the downtime that they save costs more than the accelerators that
    they strand.

    Args:
        fleet: Replicas and instances at this step.
        service: Service of the surplus replica.
        domain_size: Number of instances in the fabric domain.
    """
    rules = fleet.rules
    stranded_cost = (
        rules.stranded_accelerator_weight
        * service.accelerators_per_instance
        * service.instances_per_replica
    )
    losses_per_s = domain_size / LOSS_INTERVAL_S
    saved_cost = (
        rules.group_downtime_weight
        * losses_per_s
        * _replica_load_s(fleet, service)
    )
    return rules.spare_instances if saved_cost > stranded_cost else 0


def domain_sizes(fleet: _fleet.Fleet) -> dict[model.FabricDomainId, int]:
    """Returns how many known instances each fabric domain has."""
    return _count(i.announcement.fabric_domain_id for i in fleet.instances())


def _count(
    domains: Iterable[model.FabricDomainId],
) -> dict[model.FabricDomainId, int]:
    sizes: dict[model.FabricDomainId, int] = {}
    for domain in domains:
        sizes[domain] = sizes.get(domain, 0) + 1
    return sizes


def _replica_load_s(fleet: _fleet.Fleet, service: model.ModelService) -> float:
    """Returns the time to load a whole replica with no other load running."""
    weight_bytes = (
        service.weight_bytes_per_instance * service.instances_per_replica
    )
    return weight_bytes / fleet.declarations.weight_store.bytes_per_s
