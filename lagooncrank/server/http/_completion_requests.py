"""Decodes the bodies of completion requests."""

import dataclasses

import msgspec

from lagooncrank import results
from lagooncrank.server.http import _body

#: Average token length that the estimate assumes.
CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionParameters:
    """Parameters that both kinds of completion requests have."""

    model: str
    prompt: str
    #: None for the limit of the model service.
    max_tokens: int | None
    stream: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Completion:
    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _TextPart:
    text: str
    type: str = "text"


@dataclasses.dataclass(frozen=True, slots=True)
class _Message:
    role: str
    content: str | list[_TextPart]

    def to_prompt_line(self) -> str:
        content = self.content
        if not isinstance(content, str):
            content = "".join(part.text for part in content)
        return f"{self.role}: {content}"


@dataclasses.dataclass(frozen=True, slots=True)
class _Chat:
    model: str
    messages: list[_Message]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


_completion_decoder = msgspec.json.Decoder(_Completion)
_chat_decoder = msgspec.json.Decoder(_Chat)


def decode_completion(body: bytes) -> CompletionParameters:
    """Decodes the body of a request to `/v1/completions`.

    Raises:
        LagooncrankError: The body is invalid.
    """
    decoded = _body.decode(body, _completion_decoder)
    _check_max_tokens(decoded.max_tokens)
    return CompletionParameters(
        decoded.model, decoded.prompt, decoded.max_tokens, decoded.stream
    )


def decode_chat(body: bytes) -> CompletionParameters:
    """Decodes the body of a request to `/v1/chat/completions`.

    Raises:
        LagooncrankError: The body is invalid.
    """
    decoded = _body.decode(body, _chat_decoder)
    if not decoded.messages:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST, "messages must not be empty"
        )
    max_tokens = decoded.max_completion_tokens or decoded.max_tokens
    _check_max_tokens(max_tokens)
    prompt = "\n".join(message.to_prompt_line() for message in decoded.messages)
    return CompletionParameters(
        decoded.model, prompt, max_tokens, decoded.stream
    )


def estimate_tokens(prompt: str) -> int:
    """Returns an estimate of the number of tokens in a prompt.

    >>> estimate_tokens("abcdefgh")
    2
    """
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def _check_max_tokens(max_tokens: int | None) -> None:
    if max_tokens is not None and max_tokens < 1:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST,
            f"max_tokens is {max_tokens}, must be at least 1",
        )
