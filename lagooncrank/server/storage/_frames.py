"""Checksummed frames: one frame for everything that one sync covers.

A file starts with a random salt that every header checksum includes, so bytes
that a caller sent are never taken for a header. As one sync covers exactly one
frame, only the last frame of a file can be torn by a crash.
"""

from collections.abc import Iterator
import dataclasses
import pathlib
import struct
import zlib

from lagooncrank.server.storage import _errors

SALT_BYTES = 16
_FIELDS = struct.Struct("<QII")
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size
#: Sequence numbers farther ahead than this are taken for chance matches.
_MAX_SKIPPED_FRAMES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One intact frame and where it ends."""

    payload: bytes
    end_offset: int


def encode(salt: bytes, sequence: int, payload: bytes) -> bytes:
    """Returns the frame of a payload."""
    fields = _FIELDS.pack(sequence, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(salt + fields)) + payload


def decode(path: pathlib.Path, data: bytes) -> Iterator[Frame]:
    """Yields the frames of a file up to a torn tail.

    Args:
        path: File, for errors.
        data: Its whole content, salt included.

    Raises:
        CorruptFileError: A damaged frame is followed by an intact one.
    """
    salt = data[:SALT_BYTES]
    offset = SALT_BYTES
    sequence = 0
    while offset < len(data):
        frame = _frame_at(data, salt, offset, sequence, sequence)
        if frame is None:
            if _is_followed(data, salt, offset, sequence):
                raise _errors.CorruptFileError(path, offset)
            return
        yield frame
        offset = frame.end_offset
        sequence += 1


def _frame_at(
    data: bytes, salt: bytes, offset: int, first: int, last: int
) -> Frame | None:
    """Returns the intact frame at `offset` if its sequence is in range."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    fields = data[offset : offset + _FIELDS.size]
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    if checksum != zlib.crc32(salt + fields):
        return None
    sequence, length, payload_checksum = _FIELDS.unpack(fields)
    payload = data[start : start + length]
    if len(payload) < length or not first <= sequence <= last:
        return None
    if zlib.crc32(payload) != payload_checksum:
        return None
    return Frame(payload, start + length)


def _is_followed(data: bytes, salt: bytes, offset: int, sequence: int) -> bool:
    """Whether any intact later frame stands after a damaged one."""
    last = sequence + _MAX_SKIPPED_FRAMES
    return any(
        _frame_at(data, salt, later, sequence + 1, last) is not None
        for later in range(offset + 1, len(data) - HEADER_BYTES + 1)
    )
