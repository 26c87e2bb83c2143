"""Moves replicas on in their life cycle, by what their members announce."""

from lagooncrank import model
from lagooncrank.core.placement import _changes
from lagooncrank.core.placement import _fencing
from lagooncrank.core.placement import _fleet

_State = model.ReplicaState

#: States that may follow each state.
TRANSITIONS: dict[_State, frozenset[_State]] = {
    _State.FORMING: frozenset(
        {_State.FORMING, _State.LOADING, _State.DISSOLVED, _State.LOST}
    ),
    _State.LOADING: frozenset(
        {_State.FORMING, _State.SERVING, _State.DISSOLVED, _State.LOST}
    ),
    _State.SERVING: frozenset(
        {_State.FORMING, _State.LOADING, _State.DRAINING, _State.LOST}
    ),
    _State.DRAINING: frozenset(
        {_State.FORMING, _State.SERVING, _State.DISSOLVED, _State.LOST}
    ),
    _State.DISSOLVED: frozenset(),
    _State.LOST: frozenset(),
}


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
        following = _next_state(replica, fleet, fence)
        if following is not replica.state:
            changes.set_state(replica, following)


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
