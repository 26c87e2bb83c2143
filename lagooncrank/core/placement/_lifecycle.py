"""Advances the states of replicas from the announcements of their members."""

from collections.abc import Iterator

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fencing
from lagooncrank.core.placement import _fleet
from lagooncrank.core.placement import _instances

_State = model.ReplicaState


def advance(
    fleet: _fleet.Fleet, fence: _fencing.Fence, changes: _changes.Changes
) -> None:
    """Adds a change for each replica whose state or members are out of date.

    Args:
        fleet: Replicas and instances at this step.
        fence: Decides whether a load may start.
        changes: Receives the changes.
    """
    for replica in fleet.active_replicas:
        if changes.has_changed(replica):
            continue
        service = fleet.services.get(replica.service)
        replacements = dict(_members_with_new_server(replica, fleet))
        if replacements and service is not None:
            changes.reassign(replica, service, replacements)
            continue
        next_state = _next_state(replica, fleet, fence)
        if next_state is not replica.state:
            changes.set_state(replica, next_state)


def _members_with_new_server(
    replica: model.Replica, fleet: _fleet.Fleet
) -> Iterator[tuple[int, _instances.Instance]]:
    """Yields members whose instance now runs a different backend server."""
    for rank, member in enumerate(fleet.members(replica)):
        if member is None or not member.is_ready:
            continue
        server_id = member.announcement.backend_server_id
        if server_id != replica.backend_servers[rank]:
            yield rank, member


def _next_state(
    replica: model.Replica, fleet: _fleet.Fleet, fence: _fencing.Fence
) -> _State:
    unloaded = fleet.unloaded_ranks(replica)
    if replica.state is _State.LOADING:
        return _State.LOADING if unloaded else _State.SERVING
    if not unloaded and replica.state is _State.SERVING:
        return _State.SERVING
    ready = [m for m in fleet.members(replica) if m is not None and m.is_ready]
    if replica.state is _State.FORMING:
        may_start = any(
            _fleet.loaded_model_for(m, replica)
            or fence.may_load(m, replica, fleet.now_ms)
            for m in ready
        )
        return _State.LOADING if may_start else _State.FORMING
    if replica.state is _State.SERVING:
        must_load = not all(_fleet.is_ready_for(m, replica) for m in ready)
        return _State.LOADING if must_load else _State.SERVING
    return replica.state
