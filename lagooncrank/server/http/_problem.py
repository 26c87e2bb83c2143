"""Problem responses (`application/problem+json`)."""

from typing import Any

from aiohttp import web
import msgspec

from lagooncrank import clock as clocks
from lagooncrank import results

CONTENT_TYPE = "application/problem+json"


def body(refusal: results.Refusal, request_id: str) -> bytes:
    """Returns the JSON body that describes a refusal or an error."""
    code = refusal.code
    fields: dict[str, Any] = {
        "type": "about:blank",
        "title": code.name,
        "status": code.http_status,
        "code": code.value,
        "reason": refusal.reason,
        "ran": refusal.ran.value,
        "request_id": request_id,
    }
    if refusal.retry_after_ms is not None:
        fields["retry_after_ms"] = refusal.retry_after_ms
    if refusal.current_revision is not None:
        fields["current_revision"] = refusal.current_revision
    return msgspec.json.encode(fields)


def response(refusal: results.Refusal, request_id: str) -> web.Response:
    """Returns the HTTP response for a refusal or an error."""
    headers = {"Content-Type": CONTENT_TYPE}
    if refusal.retry_after_ms is not None:
        retry_after_s = -(-refusal.retry_after_ms // clocks.MS_PER_S)
        headers["Retry-After"] = str(retry_after_s)
    return web.Response(
        body=body(refusal, request_id),
        status=refusal.code.http_status,
        headers=headers,
    )
