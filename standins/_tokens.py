"""Deterministic output tokens, the same on every engine."""

import hashlib

WORDS = (
    "gas", "meter", "permit", "route", "pipe", "valve", "street", "floor",
    "visit", "order", "letter", "record", "chapel", "hymn", "reading", "name",
)  # fmt: skip


def token_at(prompt: str, offset: int) -> str:
    """Returns output token `offset` of the answer to `prompt`.

    >>> token_at("a", 3) == token_at("a", 3)
    True
    """
    digest = hashlib.blake2b(f"{offset}:{prompt}".encode(), digest_size=2)
    word = WORDS[digest.digest()[0] % len(WORDS)]
    return f"{word}{offset} "


def answer(prompt: str, count: int) -> str:
    """Returns the whole answer of `count` tokens to `prompt`."""
    return "".join(token_at(prompt, offset) for offset in range(count))
