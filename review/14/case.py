"""A successor dies just after its predecessor was removed; a third one comes.

Exits with 1 if the acknowledged manifest is lost with one further machine.
"""

import asyncio

from review.common3 import control_case

#: Time from the end of the predecessor to the crash of its successor.
CRASH_AFTER_S = 1.0
#: Time from the start of the third machine to the loss of a voter: over three
#: times `catch_up_s`, and longer than `recovery_s` (12 s).
CALM_S = 15.0


class DeadSuccessor(control_case.ControlCase):
    """The loss of a successor, and of another machine much later."""

    async def play(self) -> None:
        """Replaces a follower twice, waits, and loses another machine."""
        successor = await self.add_control()
        await asyncio.sleep(control_case.CATCH_UP_S)
        removed, lost = (name for name in self.old if name != self.leader)
        if self.has_trouble:
            await self.remove(removed)
            await asyncio.sleep(CRASH_AFTER_S)
            self.kill(successor)
            await asyncio.sleep(1)
        await self.add_control()
        await asyncio.sleep(CALM_S)
        await self.acknowledge()
        if self.has_trouble:
            self.kill(lost)
            await asyncio.sleep(1)
        await self.add_control()


if __name__ == "__main__":
    control_case.exit_with(DeadSuccessor, __file__)
