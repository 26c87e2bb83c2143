"""Reads and decodes request bodies within the limits."""

import asyncio
from typing import TypeVar

from aiohttp import web
import msgspec

from lagooncrank import results
from lagooncrank import settings

T = TypeVar("T")


async def read(request: web.Request, limits: settings.LimitSettings) -> bytes:
    """Returns the whole body.

    Raises:
        LagooncrankError: The body is too large, or did not arrive in time.
    """
    length = request.content_length
    if length is not None and length > limits.request_bytes:
        raise _too_large(limits)
    try:
        async with asyncio.timeout(limits.sender_timeout_ms / 1_000):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise _too_large(limits) from error
    except TimeoutError as error:
        raise results.error(
            results.ResultCode.SENDER_TOO_SLOW,
            f"the body did not arrive within {limits.sender_timeout_ms} ms",
        ) from error


def decode(body: bytes, decoder: msgspec.json.Decoder[T]) -> T:
    """Returns the decoded JSON body.

    Raises:
        LagooncrankError: The body is not valid JSON, or a field is invalid.
    """
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST, f"request body: {error}"
        ) from error


def _too_large(limits: settings.LimitSettings) -> results.LagooncrankError:
    return results.error(
        results.ResultCode.REQUEST_TOO_LARGE,
        f"the body is over the limit of {limits.request_bytes} bytes",
    )
