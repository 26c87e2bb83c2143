"""Reads whole bodies within the limits on their size."""

from lagooncrank.server import _bounded_http
from lagooncrank.server import _response_buffers
from lagooncrank.server.seeded import _attempt


async def read(
    backend_response: _attempt.BackendResponse,
    buffers: _response_buffers.ResponseBuffers,
) -> bytes:
    """Returns a whole body.

    Raises:
        AttemptFailedError: It ended early or exceeds a limit.
    """
    chunks = []
    size_bytes = 0
    max_bytes = _response_buffers.MAX_BODY_BYTES
    try:
        _bounded_http.check_length(backend_response.length, max_bytes)
        with buffers.open() as buffer:
            async for chunk in backend_response.body():
                size_bytes += len(chunk)
                _bounded_http.check_length(size_bytes, max_bytes)
                buffer.resize(size_bytes)
                chunks.append(chunk)
    except _bounded_http.ResponseTooLargeError as error:
        raise _attempt.AttemptFailedError(
            _attempt.FailureKind.TOO_LARGE, str(error)
        ) from error
    return b"".join(chunks)
