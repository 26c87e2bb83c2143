"""Deterministic output tokens that are the same on every engine."""

import hashlib

WORDS = (
    "gas", "meter", "permit", "route", "pipe", "valve", "street", "floor",
    "visit", "order", "letter", "record", "chapel", "hymn", "reading", "name",
)  # fmt: skip


def token_at(prompt: str, offset: int) -> str:
    """Returns the token at `offset` of the completion of `prompt`.

    >>> token_at("a", 3) == token_at("a", 3)
    True
    """
    digest = hashlib.blake2b(f"{offset}:{prompt}".encode(), digest_size=2)
    word = WORDS[digest.digest()[0] % len(WORDS)]
    return f"{word}{offset} "


def answer(prompt: str, count: int) -> str:
    """Returns the completion of `prompt` with `count` tokens."""
    return "".join(token_at(prompt, offset) for offset in range(count))
