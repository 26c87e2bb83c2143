"""Connections that take few bytes from the kernel at a time.

The event loop's usual read takes up to 256 KiB, which a connection then holds
whole: a reader that pauses at 64 KiB pauses too late. With many connections to
faulty peers that is more memory than a process has.
"""

import asyncio
from typing import Final

#: Most bytes of one read.
READ_BYTES: Final = 16_384

#: Filled and emptied within one step of the event loop, so that all
#: connections share it.
_buffer: Final = memoryview(bytearray(READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """Mixin for protocols with `data_received`; it must come last."""

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes the bytes of a read on."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Accepts the bytes of one read; the class beside this one does it."""
        raise NotImplementedError
