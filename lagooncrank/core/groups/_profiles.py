"""Compares groups with the models that the newest document declares.

A document may change a service's models while groups of them exist, and may
declare models that no group can be formed of.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model
from lagooncrank.core.groups import _actions

#: Larger shares and rates are reduced to this, so that sums stay finite.
_MAX_FIGURE: Final = 1e9


def plannable_engine(
    service: model.ServiceConfig,
) -> model.EngineProfile | None:
    """Returns the engine profile with the models that groups can serve.

    Of two models of one name the last one counts, as for look-ups.

    Returns:
        None for a plain service, and for one without such a model.
    """
    engine = service.engine
    if engine is None:
        return None
    by_name = {profile.name: profile for profile in engine.models}
    models = tuple(
        dataclasses.replace(
            profile, initial_share=_bounded(profile.initial_share)
        )
        for profile in by_name.values()
        if profile.engines_per_replica >= 1
    )
    if not models:
        return None
    return dataclasses.replace(
        engine, models=models, max_loads_per_s=_bounded(engine.max_loads_per_s)
    )


def obsolete_changes(
    groups: Iterable[model.Group],
    services: Mapping[model.ServiceName, model.ServiceConfig],
) -> Iterator[_actions.PhaseChange]:
    """Yields dissolutions of groups that the document no longer describes.

    Their model was withdrawn, or has another number of engines now. Heads
    finish their requests. Groups of a service that was withdrawn as a whole
    remain: no route leads to them, and no other service needs their engines.
    """
    sizes = {name: _group_sizes(s) for name, s in services.items()}
    for group in groups:
        service_sizes = sizes.get(group.service)
        if service_sizes is None or group.is_preload:
            continue
        size = service_sizes.get(group.model_name)
        if size == len(group.members):
            continue
        reason = f"model {group.model_name} has groups of {size} now"
        if size is None:
            reason = f"model {group.model_name} was withdrawn"
        match group.phase:
            case model.GroupPhase.FORMING:
                # The head was never ordered to open, so it has no requests.
                yield _actions.PhaseChange(group, None, reason)
            case model.GroupPhase.SERVING:
                phase = model.GroupPhase.DISSOLVING
                yield _actions.PhaseChange(
                    group, phase, reason, waits_for_work=True
                )


def group_size(group: model.Group, service: model.ServiceConfig) -> int | None:
    """Returns how many engines groups of a group's model have now, if any."""
    return _group_sizes(service).get(group.model_name)


def _group_sizes(service: model.ServiceConfig) -> dict[str, int]:
    engine = plannable_engine(service)
    if engine is None:
        return {}
    return {m.name: m.engines_per_replica for m in engine.models}


def _bounded(figure: float) -> float:
    return min(max(figure, 0.0), _MAX_FIGURE)
