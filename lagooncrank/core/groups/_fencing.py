"""Fencing tokens of orders to engines.

An order may be executed seconds after it was sent, when later ones have been
executed. Engines refuse an order with a lower token than one they have seen, so
the token has to increase with each decision about an engine, not only with
each leader.
"""

from collections.abc import Mapping
import dataclasses
from typing import Final

from lagooncrank import model

_EPOCH_BITS: Final = 26  # Leaves 25 bits of an exact JSON number to the term.
_STEP_BITS: Final = 2

_STEPS: Final = {
    model.GroupPhase.FORMING: 0,
    model.GroupPhase.SERVING: 1,
    model.GroupPhase.DISSOLVING: 2,
}
#: Step of an engine that no group holds: after all steps of its last group.
_FREE_STEP: Final = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FencingToken:
    """Token of an order; a later decision about an engine has a higher one."""

    #: Term of the leader that decided.
    term: int
    #: Epoch of the group that holds the engine, or of the newest group if none
    #: does.
    epoch: int
    #: Position of the group's phase in the life of a group.
    step: int

    @classmethod
    def for_engine(
        cls,
        server_id: model.BackendServerId,
        term: int,
        groups: Mapping[str, model.Group],
        last_epoch: int,
    ) -> "FencingToken":
        """Returns the token of an order to an engine.

        Args:
            server_id: The engine.
            term: Term of the leader.
            groups: Groups that exist, in any phase.
            last_epoch: Epoch of the newest group, also if it was removed.
        """
        for group in groups.values():
            if any(m.server_id == server_id for m in group.members):
                return cls(term, group.epoch, _STEPS[group.phase])
        return cls(term, last_epoch, _FREE_STEP)

    def to_int(self) -> int:
        """Returns the token as one number, in the same order.

        >>> FencingToken(2, 1, 0).to_int() > FencingToken(1, 9, 3).to_int()
        True
        """
        epochs = (self.term << _EPOCH_BITS) + self.epoch
        return (epochs << _STEP_BITS) + self.step
