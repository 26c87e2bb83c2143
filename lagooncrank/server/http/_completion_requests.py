"""Bodies of model requests."""

import dataclasses

import msgspec

from lagooncrank import results
from lagooncrank.server.http import _body

BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """What either kind of model request asks for."""

    model: str
    prompt: str
    #: None for as many as the model service allows.
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

    def line(self) -> str:
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


def decode_completion(body: bytes) -> Asked:
    """Returns what a body of `/v1/completions` asks for.

    Raises:
        LagooncrankError: The body is invalid.
    """
    asked = _body.decode(body, _completion_decoder)
    _check_max_tokens(asked.max_tokens)
    return Asked(asked.model, asked.prompt, asked.max_tokens, asked.stream)


def decode_chat(body: bytes) -> Asked:
    """Returns what a body of `/v1/chat/completions` asks for.

    Raises:
        LagooncrankError: The body is invalid.
    """
    asked = _body.decode(body, _chat_decoder)
    if not asked.messages:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST, "messages must not be empty"
        )
    max_tokens = asked.max_completion_tokens or asked.max_tokens
    _check_max_tokens(max_tokens)
    prompt = "\n".join(message.line() for message in asked.messages)
    return Asked(asked.model, prompt, max_tokens, asked.stream)


def estimated_tokens(prompt: str) -> int:
    """Returns about how many tokens a prompt has.

    >>> estimated_tokens("abcdefgh")
    2
    """
    return max(1, len(prompt) // BYTES_PER_TOKEN)


def _check_max_tokens(max_tokens: int | None) -> None:
    if max_tokens is not None and max_tokens < 1:
        raise results.error(
            results.ResultCode.MALFORMED_REQUEST,
            f"max_tokens is {max_tokens}, must be at least 1",
        )
