"""Plans loads for spare engines before requests are served.

Loads are short then and disturb no caller. An engine that no group of its
fabric domain needs can replace a lost member at once if its host already
holds the weights.
"""

from collections.abc import Iterator
from collections.abc import Mapping

from lagooncrank import model
from lagooncrank.core.groups import _inventory
from lagooncrank.core.groups import _runtime_loads


def spare_engine_loads(
    inventory: _inventory.EngineInventory,
    loads_in_progress: Mapping[str, str],
) -> Iterator[_runtime_loads.PlannedLoad]:
    """Yields loads of free engines.

    An engine without weights loads the model that the most engines of its
    fabric domain serve, as that model is the most likely to lose a member
    there. An engine that has weights in memory loads another model.

    Args:
        inventory: Engines and groups of a service.
        loads_in_progress: Model that an engine's host is loading, by server
            id.
    """
    for domain, reports in inventory.free.items():
        profile = _most_served(inventory, domain)
        for report in reports:
            if report.server_id in loads_in_progress:
                continue
            staged = inventory.declared(report.staged)
            loaded = inventory.declared(report.loaded)
            if not staged and not loaded:
                yield _runtime_loads.PlannedLoad(report, profile)
            elif loaded and set(staged) <= set(loaded):
                yield from _second_model_load(report, inventory)


def _second_model_load(
    report: model.ServerReport, inventory: _inventory.EngineInventory
) -> Iterator[_runtime_loads.PlannedLoad]:
    for profile in inventory.models_by_need():
        if profile.name not in report.loaded:
            yield _runtime_loads.PlannedLoad(report, profile)
            return


def _most_served(
    inventory: _inventory.EngineInventory, domain: str
) -> model.ModelProfile:
    """Returns the model with the most engines in groups of a domain."""
    served = inventory.models_by_domain.get(domain, [])

    def engines(profile: model.ModelProfile) -> int:
        return served.count(profile.name) * profile.engines_per_replica

    return max(
        inventory.models_by_need(),
        key=lambda p: (engines(p), p.engines_per_replica),
    )
