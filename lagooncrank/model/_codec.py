"""Converts data classes to and from builtin values and CBOR."""

from typing import Any
from typing import TypeVar

import cbor2
import msgspec

T = TypeVar("T")


def to_builtins(value: Any) -> Any:
    """Converts `value` to dicts, lists, strings, numbers, bytes and None."""
    return msgspec.to_builtins(value, builtin_types=(bytes,))


def from_builtins(value: Any, target_type: type[T]) -> T:
    """Builds an instance of `target_type` from `value`, a builtin value.

    Raises:
        msgspec.ValidationError: A field is missing or has the wrong type.
    """
    return msgspec.convert(value, target_type, builtin_types=(bytes,))


def to_cbor(value: Any) -> bytes:
    """Encodes `value` as CBOR."""
    return cbor2.dumps(to_builtins(value))


def from_cbor(data: bytes, target_type: type[T]) -> T:
    """Builds an instance of `target_type` from CBOR.

    Raises:
        cbor2.CBORDecodeError: `data` is not valid CBOR.
        msgspec.ValidationError: A field is missing or has the wrong type.
    """
    return from_builtins(cbor2.loads(data), target_type)
