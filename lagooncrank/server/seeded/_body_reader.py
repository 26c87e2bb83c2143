"""Reads whole bodies within the limits on their size."""

from lagooncrank.server import _bounded_http
from lagooncrank.server import _buffer_budget
from lagooncrank.server.seeded import _attempt


async def read(
    backend_response: _attempt.BackendResponse, buffer: _buffer_budget.Buffer
) -> bytes:
    """Returns a whole body.

    Args:
        backend_response: The response.
        buffer: Accounts for the body, until its owner closes it.

    Raises:
        AttemptFailedError: It ended early or exceeds a limit.
    """
    chunks = []
    size_bytes = 0
    max_bytes = _buffer_budget.MAX_BODY_BYTES
    try:
        _bounded_http.check_length(backend_response.length, max_bytes)
        async for chunk in backend_response.body():
            size_bytes += len(chunk)
            _bounded_http.check_length(size_bytes, max_bytes)
            buffer.resize(size_bytes)
            chunks.append(chunk)
    except (
        _bounded_http.ResponseTooLargeError,
        _buffer_budget.BufferSpentError,
    ) as error:
        raise _attempt.AttemptFailedError(
            _attempt.FailureKind.TOO_LARGE, str(error)
        ) from error
    return b"".join(chunks)
