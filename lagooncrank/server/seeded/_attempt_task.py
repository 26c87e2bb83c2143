"""An attempt in a task of its own, beside another one."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Generic
from typing import Self
from typing import TypeVar

_ResultT = TypeVar("_ResultT")


class AttemptTask(Generic[_ResultT]):
    """Runs an attempt, and ends it with the `async with` block.

    A result that nobody has taken by then is discarded.
    """

    def __init__(
        self,
        attempt: Coroutine[Any, Any, _ResultT],
        discard: Callable[[_ResultT], None],
    ) -> None:
        """Starts an attempt.

        Args:
            attempt: The attempt.
            discard: Closes its result.
        """
        #: For waits for several tasks.
        self.task = asyncio.create_task(attempt)
        self._discard = discard
        #: Whether the caller of `take` has the result.
        self.is_taken = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_error: object) -> None:
        await cancel(self.task)
        if self.has_succeeded and not self.is_taken:
            self._discard(self.task.result())

    @property
    def is_done(self) -> bool:
        """Whether the attempt is over."""
        return self.task.done()

    @property
    def has_succeeded(self) -> bool:
        """Whether there is a result."""
        return self.task.done() and error_of(self.task) is None

    def take(self) -> _ResultT:
        """Returns the result, which belongs to the caller from now on.

        Raises:
            BaseException: The attempt has failed, with this error.
        """
        result = self.task.result()
        self.is_taken = True
        return result

    async def wait(self) -> None:
        """Waits until the attempt is over."""
        await asyncio.wait({self.task})


async def wait_for_any(*tasks: asyncio.Task[Any]) -> None:
    """Waits until one of several tasks is over."""
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


async def cancel(task: asyncio.Task[Any]) -> None:
    """Cancels a task unless it is over, and waits for its end."""
    if not task.done():
        task.cancel()
        await asyncio.wait({task})


def error_of(task: asyncio.Task[Any]) -> BaseException | None:
    """Returns the error that ended a task; None if there is none."""
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()
