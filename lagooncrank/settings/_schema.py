"""Validates builtin values against the types of a data class."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import difflib
import enum
import functools
import types
import typing
from typing import Any

from lagooncrank.settings import _problems

_TYPE_DESCRIPTIONS = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
}
_MAX_SHOWN_CHARACTERS = 40


def check_schema(
    value: Any, expected_type: Any, path: str = ""
) -> Iterator[_problems.Problem]:
    """Finds unknown and missing fields and values of the wrong type.

    Args:
        value: Decoded YAML or JSON.
        expected_type: Data class, or type of one of its fields.
        path: Path of the field that has the value.

    Yields:
        Each problem, in the order of the fields.
    """
    expected_type = getattr(expected_type, "__supertype__", expected_type)
    origin = typing.get_origin(expected_type)
    if dataclasses.is_dataclass(expected_type):
        yield from _check_fields(value, expected_type, path)
    elif origin is tuple:
        yield from _check_items(value, typing.get_args(expected_type)[0], path)
    elif origin in (typing.Union, types.UnionType):
        yield from _check_optional(value, expected_type, path)
    elif isinstance(expected_type, type) and issubclass(
        expected_type, enum.Enum
    ):
        allowed = [member.value for member in expected_type]
        if value not in allowed:
            yield _mismatch(path, f"one of {', '.join(allowed)}", value)
    elif not _is_scalar(value, expected_type):
        yield _mismatch(path, _TYPE_DESCRIPTIONS[expected_type], value)


def _check_fields(
    value: Any, expected_type: Any, path: str
) -> Iterator[_problems.Problem]:
    field_types = _field_types(expected_type)
    if not isinstance(value, Mapping):
        yield _mismatch(path, f"a mapping with {', '.join(field_types)}", value)
        return
    prefix = f"{path}." if path else ""
    for name in value:
        if name not in field_types:
            yield _problems.Problem(
                f"{prefix}{name}",
                _unknown_field_message(str(name), tuple(field_types)),
            )
    for field in dataclasses.fields(expected_type):
        if field.name in value:
            yield from check_schema(
                value[field.name],
                field_types[field.name],
                f"{prefix}{field.name}",
            )
        elif _is_required(field):
            yield _problems.Problem(
                path, f"lacks the required field {field.name!r}"
            )


def _is_required(field: dataclasses.Field[Any]) -> bool:
    has_default = field.default is not dataclasses.MISSING
    return not has_default and field.default_factory is dataclasses.MISSING


def _check_items(
    value: Any, expected_type: Any, path: str
) -> Iterator[_problems.Problem]:
    if not isinstance(value, (list, tuple)):
        yield _mismatch(path, "a list", value)
        return
    for index, item in enumerate(value):
        yield from check_schema(item, expected_type, f"{path}[{index}]")


def _check_optional(
    value: Any, expected_type: Any, path: str
) -> Iterator[_problems.Problem]:
    if value is not None:
        [inner] = [
            a for a in typing.get_args(expected_type) if a is not type(None)
        ]
        yield from check_schema(value, inner, path)


def _is_scalar(value: Any, expected_type: type) -> bool:
    if isinstance(value, bool):
        return expected_type is bool
    if expected_type is float:
        return isinstance(value, (int, float))
    return isinstance(value, expected_type)


@functools.cache
def _field_types(expected_type: Any) -> dict[str, Any]:
    return typing.get_type_hints(expected_type)


def _unknown_field_message(name: str, known: tuple[str, ...]) -> str:
    matches = difflib.get_close_matches(name, known, n=1)
    hint = f"; did you mean {matches[0]!r}?" if matches else "."
    return f"is not a known field{hint} Allowed: {', '.join(known)}"


def _mismatch(path: str, expected: str, value: Any) -> _problems.Problem:
    shown = repr(value)
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = f"{shown[:_MAX_SHOWN_CHARACTERS]}..."
    hint = ""
    if expected == _TYPE_DESCRIPTIONS[str] and value is not None:
        hint = "; quote it to make it text"
    return _problems.Problem(path, f"must be {expected}, is {shown}{hint}")
