"""OpenAI-style answers, whole and in chunks."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Any

import msgspec

from lagooncrank import model
from lagooncrank.server import _token_batches

DONE = b"data: [DONE]\n\n"

_encode = msgspec.json.Encoder().encode


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """How one kind of answer is laid out."""

    whole_object: str
    chunk_object: str
    #: JSON before and after the text of a chunk's choice.
    chunk_text_prefix: bytes
    chunk_text_suffix: bytes
    is_chat: bool


TEXT = Shape("text_completion", "text_completion", b'"text":', b"", False)
CHAT = Shape(
    "chat.completion",
    "chat.completion.chunk",
    b'"delta":{"role":"assistant","content":',
    b"}",
    True,
)


class Answer:
    """Encodes the answer to one model request."""

    def __init__(
        self,
        shape: Shape,
        request_id: str,
        service: model.ServiceName,
        created_s: int,
    ) -> None:
        self._shape = shape
        self._head: dict[str, Any] = {
            "id": request_id,
            "object": shape.whole_object,
            "created": created_s,
            "model": service,
        }
        head = _encode(self._head | {"object": shape.chunk_object})
        self._chunk_prefix = (
            b"data: "
            + head[:-1]
            + b',"choices":[{"index":0,'
            + shape.chunk_text_prefix
        )
        self._chunk_suffix = shape.chunk_text_suffix + b',"finish_reason":'
        self._open_chunk_end = self._chunk_suffix + b"null}]}\n\n"

    def chunk(self, batch: _token_batches.TokenBatch) -> bytes:
        """Returns one server-sent event; fixed parts are encoded once."""
        text = _encode(batch.text)
        if not batch.finish_reason:
            return self._chunk_prefix + text + self._open_chunk_end
        reason = _encode(batch.finish_reason)
        return (
            self._chunk_prefix + text + self._chunk_suffix + reason + b"}]}\n\n"
        )

    def whole(
        self, batches: Sequence[_token_batches.TokenBatch], prompt_tokens: int
    ) -> bytes:
        """Returns the answer to a request that does not stream."""
        text = "".join(batch.text for batch in batches)
        tokens = sum(batch.tokens for batch in batches)
        choice: dict[str, Any] = {"index": 0}
        if self._shape.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = batches[-1].finish_reason
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        return _encode(self._head | {"choices": [choice], "usage": usage})


def models(services: Iterable[model.ModelService]) -> dict[str, Any]:
    """Returns the answer of `GET /v1/models`."""
    data = [
        {"id": service.name, "object": "model", "owned_by": "lagooncrank"}
        for service in services
    ]
    return {"object": "list", "data": data}
