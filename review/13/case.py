"""A control machine is down for some seconds while a successor waits.

Exits with 1 if the acknowledged manifest is lost with one machine, long after.
"""

import asyncio

from review.common3 import control_case

#: For how long a machine is down; its disk is kept.
DOWN_S = 3.5
#: Time after each change: over twice `catch_up_s`.
CALM_S = 10.0


class NeverBack(control_case.ControlCase):
    """A voter that was replaced while it was down."""

    async def play(self) -> None:
        """Restarts a follower, replaces the other, and loses the leader."""
        await self.add_control()
        await asyncio.sleep(control_case.CATCH_UP_S)
        restarted, removed = (n for n in self.old if n != self.leader)
        if self.has_trouble:
            await self.restart(restarted, DOWN_S)
            await asyncio.sleep(CALM_S)
            self.note(f"read back: {await self.system.read()}")
            await self.remove(removed)
        await asyncio.sleep(CALM_S)
        await self.acknowledge()
        if self.has_trouble:
            self.kill(self.leader)
            await asyncio.sleep(1)
        await self.add_control()


if __name__ == "__main__":
    control_case.exit_with(NeverBack, __file__)
