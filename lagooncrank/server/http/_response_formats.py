"""Encodes OpenAI-compatible responses, whole or in chunks."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Any

import msgspec

from lagooncrank import model
from lagooncrank.server import _token_batches

DONE_EVENT = b"data: [DONE]\n\n"

_encode = msgspec.json.Encoder().encode


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFormat:
    """JSON layout of one kind of completion response."""

    response_object: str
    chunk_object: str
    #: JSON before and after the text in the choice of a chunk.
    chunk_text_prefix: bytes
    chunk_text_suffix: bytes
    is_chat: bool


TEXT_COMPLETION = ResponseFormat(
    "text_completion", "text_completion", b'"text":', b"", False
)
CHAT_COMPLETION = ResponseFormat(
    "chat.completion",
    "chat.completion.chunk",
    b'"delta":{"role":"assistant","content":',
    b"}",
    True,
)


class ResponseEncoder:
    """Encodes the response to one completion request."""

    def __init__(
        self,
        response_format: ResponseFormat,
        request_id: str,
        service: model.ServiceName,
        created_s: int,
    ) -> None:
        self._format = response_format
        self._common_fields: dict[str, Any] = {
            "id": request_id,
            "object": response_format.response_object,
            "created": created_s,
            "model": service,
        }
        chunk_fields = _encode(
            self._common_fields | {"object": response_format.chunk_object}
        )
        self._chunk_prefix = (
            b"data: "
            + chunk_fields[:-1]
            + b',"choices":[{"index":0,'
            + response_format.chunk_text_prefix
        )
        self._chunk_suffix = (
            response_format.chunk_text_suffix + b',"finish_reason":'
        )
        self._open_chunk_end = self._chunk_suffix + b"null}]}\n\n"

    def encode_chunk(self, batch: _token_batches.TokenBatch) -> bytes:
        """Returns one server-sent event; constant parts are encoded once."""
        text = _encode(batch.text)
        if not batch.finish_reason:
            return self._chunk_prefix + text + self._open_chunk_end
        reason = _encode(batch.finish_reason)
        return (
            self._chunk_prefix + text + self._chunk_suffix + reason + b"}]}\n\n"
        )

    def encode_response(
        self, batches: Sequence[_token_batches.TokenBatch], prompt_tokens: int
    ) -> bytes:
        """Returns the response to a request that does not stream."""
        text = "".join(batch.text for batch in batches)
        tokens = sum(batch.tokens for batch in batches)
        choice: dict[str, Any] = {"index": 0}
        if self._format.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = batches[-1].finish_reason
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        return _encode(
            self._common_fields | {"choices": [choice], "usage": usage}
        )


def models_response(services: Iterable[model.ModelService]) -> dict[str, Any]:
    """Returns the response body of `GET /v1/models`."""
    data = [
        {"id": service.name, "object": "model", "owned_by": "lagooncrank"}
        for service in services
    ]
    return {"object": "list", "data": data}
