"""Checksummed frames of a log or snapshot file.

A file starts with a random salt that the checksum of every header includes, so
that no payload bytes chosen by a caller can pass for a header. Each sync covers
exactly one frame, so a crash can tear only the last frame of a file.
"""

from collections.abc import Iterator
import dataclasses
import pathlib
import struct
import zlib

from lagooncrank.server.storage import _errors

SALT_BYTES = 16
_HEADER_FIELDS = struct.Struct("<QII")
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER_FIELDS.size + _CHECKSUM.size
#: A match with a sequence number farther ahead than this is regarded as
#: accidental.
_MAX_SKIPPED_FRAMES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """Payload of an intact frame and the offset of its end."""

    payload: bytes
    end_offset: int


def encode(salt: bytes, sequence: int, payload: bytes) -> bytes:
    """Encodes a payload as a frame."""
    fields = _HEADER_FIELDS.pack(sequence, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(salt + fields)) + payload


def decode(path: pathlib.Path, data: bytes) -> Iterator[Frame]:
    """Yields the frames of a file; stops at a torn tail.

    Args:
        path: Path of the file, for error messages.
        data: Content of the file, salt included.

    Raises:
        CorruptFileError: A damaged frame is followed by an intact one.
    """
    salt = data[:SALT_BYTES]
    offset = SALT_BYTES
    sequence = 0
    while offset < len(data):
        frame = _parse_frame(data, salt, offset, sequence, sequence)
        if frame is None:
            if _has_later_frame(data, salt, offset, sequence):
                raise _errors.CorruptFileError(path, offset)
            return
        yield frame
        offset = frame.end_offset
        sequence += 1


def _parse_frame(
    data: bytes,
    salt: bytes,
    offset: int,
    first_sequence: int,
    last_sequence: int,
) -> Frame | None:
    """Returns the frame at `offset` if it is intact and its number in range.

    The range is from `first_sequence` to `last_sequence`, both included.
    """
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    fields = data[offset : offset + _HEADER_FIELDS.size]
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _HEADER_FIELDS.size)
    if checksum != zlib.crc32(salt + fields):
        return None
    sequence, length, payload_checksum = _HEADER_FIELDS.unpack(fields)
    payload = data[start : start + length]
    if len(payload) < length or not first_sequence <= sequence <= last_sequence:
        return None
    if zlib.crc32(payload) != payload_checksum:
        return None
    return Frame(payload, start + length)


def _has_later_frame(
    data: bytes, salt: bytes, offset: int, sequence: int
) -> bool:
    """Returns whether an intact frame follows a damaged one."""
    last_sequence = sequence + _MAX_SKIPPED_FRAMES
    return any(
        _parse_frame(data, salt, later_offset, sequence + 1, last_sequence)
        is not None
        for later_offset in range(offset + 1, len(data) - HEADER_BYTES + 1)
    )
