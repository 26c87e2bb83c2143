"""Authenticates and decodes the requests of operators."""

from collections.abc import Sequence
import dataclasses
import hashlib
import hmac
import json
from typing import TypeVar

from aiohttp import web
import msgspec

from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings

#: Size limit of a request body.
MAX_BODY_BYTES = 4_194_304

_BEARER = "Bearer "
T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Body of `POST /v1/config`."""

    change_id: str
    base_revision: int
    author: str
    declarations: model.Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequest:
    """Body of `POST /v1/drain`."""

    instance_id: model.InstanceId


def authenticate(
    request: web.Request, operator_key_sha256s: Sequence[str]
) -> None:
    """Checks the operator key in constant time.

    Raises:
        LagooncrankError: The key is missing or unknown.
    """
    header = request.headers.get("Authorization", "")
    key = header.removeprefix(_BEARER) if header.startswith(_BEARER) else ""
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    matches = [hmac.compare_digest(digest, d) for d in operator_key_sha256s]
    if not any(matches):
        raise results.error(
            results.ResultCode.UNAUTHENTICATED,
            "send an operator key as 'Authorization: Bearer KEY'; its "
            "SHA-256 must be listed in operator_key_sha256s of this node",
        )


async def read_json(request: web.Request, body_type: type[T]) -> T:
    """Decodes the body as a `body_type`.

    Raises:
        LagooncrankError: The body is too large or is not a valid `body_type`.
    """
    body = await _read_body(request)
    try:
        decoded = json.loads(body)
        for problem in settings.check_schema(decoded, body_type):
            raise results.error(
                results.ResultCode.MALFORMED_REQUEST, str(problem)
            )
        return msgspec.convert(decoded, body_type)
    except (ValueError, RecursionError) as error:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST,
            f"the body is not a valid {body_type.__name__}: {error}",
        ) from error


async def _read_body(request: web.Request) -> bytes:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise results.error(
                results.ResultCode.REQUEST_TOO_LARGE,
                f"the body is over the limit of {MAX_BODY_BYTES} bytes",
            )
    return bytes(body)
