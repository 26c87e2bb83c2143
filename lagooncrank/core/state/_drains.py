"""Drains of instances, started and ended by operators."""

from collections.abc import Iterable

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _records


class Drains:
    """Records which instances must be freed of work and kept free.

    >>> drains = Drains()
    >>> instance_id = model.InstanceId("i1")
    >>> drains.drain(_commands.DrainInstance(instance_id, wall_ms=5)).ok
    True
    >>> sorted(drains.drains)
    ['i1']
    """

    def __init__(self, drains: Iterable[_records.Drain] = ()) -> None:
        self._drains = {drain.instance_id: drain for drain in drains}

    @property
    def drains(self) -> dict[model.InstanceId, _records.Drain]:
        """Drains that have not ended, by instance."""
        return self._drains

    def drain(self, command: _commands.DrainInstance) -> _records.Outcome:
        """Starts a drain; does nothing if the instance is already drained."""
        drain = _records.Drain(command.instance_id, command.wall_ms)
        self._drains.setdefault(command.instance_id, drain)
        return _records.Outcome(results.ResultCode.OK)

    def end(self, command: _commands.EndDrain) -> _records.Outcome:
        """Ends a drain; does nothing if the instance is not drained."""
        self._drains.pop(command.instance_id, None)
        return _records.Outcome(results.ResultCode.OK)
