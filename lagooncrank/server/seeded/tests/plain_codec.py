"""HTTP codec for tests of single attempts."""

from lagooncrank import results
from lagooncrank.server.seeded import _adapter


class PlainCodec:
    """Knows only the attempt id and the signature."""

    def decode_request(
        self, method: str, target: str, headers: _adapter.Headers
    ) -> _adapter.RequestHead:
        return _adapter.RequestHead("", method, target, "")

    def backend_request_headers(
        self,
        request_head: _adapter.RequestHead,
        metadata: _adapter.ForwardingMetadata,
    ) -> _adapter.Headers:
        return (("Attempt-Id", request_head.attempt_id),)

    def decode_response(
        self, status: int, headers: _adapter.Headers
    ) -> _adapter.ResponseHead:
        fields = dict(headers)
        return _adapter.ResponseHead(
            status=status,
            attempt_id=fields.get("Attempt-Id", ""),
            is_signed="Server-Signature" in fields,
            is_not_run=False,
            is_encoded=False,
            forwarded_headers=headers,
        )

    def refusal_headers(
        self,
        request_head: _adapter.RequestHead | None,
        refusal: results.Refusal,
    ) -> _adapter.Headers:
        return ()
