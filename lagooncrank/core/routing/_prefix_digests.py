"""Digests of prompt prefixes, the same at entries and engines."""

import hashlib

#: Characters of one block; a rest at the end has no digest.
BLOCK_CHARACTERS = 256
#: Blocks of a prompt that get a digest; further ones do not.
MAX_BLOCKS = 64
DIGEST_BYTES = 8


def prefix_digests(prompt: str) -> tuple[int, ...]:
    """Returns the digest of each block's prefix, shortest prefix first.

    A digest is the first 8 bytes of SHA-256 over the digest before (none for
    the first block) and the block in UTF-8, as a big-endian integer.

    >>> len(prefix_digests("x" * 600))
    2
    >>> prefix_digests("x" * 600)[0] == prefix_digests("x" * 256)[0]
    True
    """
    digests: list[int] = []
    before = b""
    blocks = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(blocks):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        content = before + block.encode("utf-8", "surrogatepass")
        before = hashlib.sha256(content).digest()[:DIGEST_BYTES]
        digests.append(int.from_bytes(before))
    return tuple(digests)
