"""Moves replicas on in their life cycle, by what their members announce."""

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
    """Adds a change for each replica whose members call for one.

    Args:
        fleet: Replicas and instances at this step.
        fence: Guard of the instances.
        changes: Receives the changes.
    """
    for replica in fleet.holding:
        if changes.has_changed(replica):
            continue
        service = fleet.services.get(replica.service)
        renamed = dict(_renamed(replica, fleet))
        if renamed and service is not None:
            changes.reassign(replica, service, renamed)
            continue
        following = _next_state(replica, fleet, fence)
        if following is not replica.state:
            changes.set_state(replica, following)


def _renamed(
    replica: model.Replica, fleet: _fleet.Fleet
) -> Iterator[tuple[int, _instances.Instance]]:
    """Yields members whose instance runs another backend server now."""
    for rank, member in enumerate(fleet.members(replica)):
        if member is None or not member.is_ready:
            continue
        server_id = member.announcement.backend_server_id
        if server_id != replica.backend_servers[rank]:
            yield rank, member


def _next_state(
    replica: model.Replica, fleet: _fleet.Fleet, fence: _fencing.Fence
) -> _State:
    missing = fleet.missing_ranks(replica)
    if replica.state is _State.LOADING:
        return _State.LOADING if missing else _State.SERVING
    if not missing and replica.state is _State.SERVING:
        return _State.SERVING
    heard = [m for m in fleet.members(replica) if m is not None and m.is_ready]
    if replica.state is _State.FORMING:
        may_start = any(
            _fleet.holds(m, replica) or fence.may_load(m, replica, fleet.now_ms)
            for m in heard
        )
        return _State.LOADING if may_start else _State.FORMING
    if replica.state is _State.SERVING:
        must_load = not all(_fleet.is_ready_for(m, replica) for m in heard)
        return _State.LOADING if must_load else _State.SERVING
    return replica.state
