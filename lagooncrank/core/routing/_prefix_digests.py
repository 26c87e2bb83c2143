"""Digests of prompt prefixes, computed alike by entries and engines."""

import hashlib

#: Characters in one block; an incomplete last block has no digest.
BLOCK_CHARACTERS = 256
#: Maximum number of digests per prompt; later blocks have none.
MAX_BLOCKS = 64
DIGEST_BYTES = 8


def prefix_digests(prompt: str) -> tuple[int, ...]:
    """Returns the digest of each block's prefix, shortest prefix first.

    A digest is the first 8 bytes of the SHA-256 hash of the previous block's
    digest (nothing for the first block) followed by the block in UTF-8, read
    as a big-endian integer.

    >>> len(prefix_digests("x" * 600))
    2
    >>> prefix_digests("x" * 600)[0] == prefix_digests("x" * 256)[0]
    True
    """
    digests: list[int] = []
    previous = b""
    blocks = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(blocks):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        content = previous + block.encode("utf-8", "surrogatepass")
        previous = hashlib.sha256(content).digest()[:DIGEST_BYTES]
        digests.append(int.from_bytes(previous))
    return tuple(digests)
