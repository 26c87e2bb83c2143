"""Turns frozen data classes into CBOR bytes or plain values, and back."""

from typing import Any
from typing import TypeVar

import cbor2
import msgspec

T = TypeVar("T")


def to_builtins(value: Any) -> Any:
    """Returns `value` as dicts, lists, strings, numbers, bytes and None."""
    return msgspec.to_builtins(value, builtin_types=(bytes,))


def from_builtins(plain: Any, kind: type[T]) -> T:
    """Builds a `kind` from plain values.

    Raises:
        msgspec.ValidationError: A field is missing or of another type.
    """
    return msgspec.convert(plain, kind, builtin_types=(bytes,))


def to_cbor(value: Any) -> bytes:
    """Returns `value` in CBOR."""
    return cbor2.dumps(to_builtins(value))


def from_cbor(data: bytes, kind: type[T]) -> T:
    """Builds a `kind` from CBOR.

    Raises:
        cbor2.CBORDecodeError: `data` is no CBOR.
        msgspec.ValidationError: A field is missing or of another type.
    """
    return from_builtins(cbor2.loads(data), kind)
