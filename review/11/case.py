"""Replaces two control machines, after their successors have caught up.

Exits with 1 if the acknowledged manifest can't be read back any more.
"""

import asyncio

from review.common3 import control_case

#: Time between the two SIGTERMs.
GAP_S = 2.0


class TwoRemovals(control_case.ControlCase):
    """Two planned replacements, 2 s apart."""

    async def play(self) -> None:
        """Starts both successors first, then ends two machines."""
        for _ in range(2):
            await self.add_control()
            await asyncio.sleep(control_case.CATCH_UP_S)
        await self.acknowledge()
        if not self.has_trouble:
            return
        first, second = (name for name in self.old if name != self.leader)
        await self.remove(first)
        await asyncio.sleep(GAP_S)
        await self.remove(second)


if __name__ == "__main__":
    control_case.exit_with(TwoRemovals, __file__)
