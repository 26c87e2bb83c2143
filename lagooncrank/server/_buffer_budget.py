"""Limits the bytes of requests and responses that a process holds in memory."""

from typing import Final
from typing import Self

#: Size limit of a response that is passed on whole. Twice the default limit of
#: a request's body.
MAX_BODY_BYTES: Final = 8_388_608
#: Fraction of a process's memory for request bodies, and the same for response
#: bodies. The rest is for the program, connections and what the kernel holds.
MEMORY_FRACTION: Final = 0.25
_BYTES_PER_MB: Final = 1_000_000


class BufferSpentError(Exception):
    """No memory is left for more of a request or response."""


class BufferBudget:
    """Shares a limit among all bodies of a kind that are held.

    A body may use as many bytes as remain unused by all, so that some remain
    for a further one, however many never end.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0

    @classmethod
    def of_memory(cls, memory_limit_mb: int) -> Self:
        """Returns the budget of a process with so much memory."""
        return cls(int(memory_limit_mb * _BYTES_PER_MB * MEMORY_FRACTION))

    @property
    def used_bytes(self) -> int:
        """Bytes that all open buffers hold."""
        return self._used_bytes

    def open(self) -> "Buffer":
        """Returns the accounting of one body; close it at its end."""
        return Buffer(self)

    def resize(self, old_bytes: int, new_bytes: int) -> None:
        """Accounts for the change of one buffer.

        Raises:
            BufferSpentError: It would be larger than what remains unused.
        """
        used_bytes = self._used_bytes + new_bytes - old_bytes
        unused_bytes = self._max_bytes - used_bytes
        if new_bytes > max(unused_bytes, old_bytes):
            raise BufferSpentError(
                f"{new_bytes} bytes while all bodies use "
                f"{self._used_bytes} of {self._max_bytes}"
            )
        self._used_bytes = used_bytes


class Buffer:
    """Accounts for the bytes of one body."""

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        #: Bytes accounted for now.
        self.size_bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self.resize(0)

    def resize(self, size_bytes: int) -> None:
        """Accounts for the current size.

        Raises:
            BufferSpentError: No more than the size so far is available.
        """
        self._buffers.resize(self.size_bytes, size_bytes)
        self.size_bytes = size_bytes
