"""Responses to callers whose headers have the bytes that a server sent.

Values of headers may hold any bytes above 0x7f, which mean nothing to those in
between (RFC 9110, section 5.5). The HTTP library reads them as UTF-8 and keeps
others as surrogates, which its writers drop or fail to encode.
"""

from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web

from lagooncrank.server import _response_heads

if TYPE_CHECKING:
    _Base = web.StreamResponse
else:
    _Base = object


class _OpaqueHeaders(_Base):
    """Mixin that writes the bytes of values as they were read."""

    async def _write_headers(self) -> None:
        if all(value.isascii() for value in self.headers.values()):
            await super()._write_headers()
            return
        request: Any = self._req
        major, minor = request.version
        lines = (
            f"HTTP/{major}.{minor} {self.status} {self.reason}",
            *(f"{name}: {value}" for name, value in self.headers.items()),
        )
        head = "\r\n".join((*lines, "", "")).encode("utf-8", "surrogateescape")
        _response_heads.HeadReader().feed(head)
        transport = request.writer.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError
        transport.write(head)


class RelayedResponse(_OpaqueHeaders, web.Response):
    """Response that is written in one piece."""


class RelayedStream(_OpaqueHeaders, web.StreamResponse):
    """Response that is written as it arrives."""
