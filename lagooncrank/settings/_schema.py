"""Compares plain values with the data class that they should become."""

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

_WANTED = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
}
_SHOWN_CHARACTERS = 40


def check_schema(
    plain: Any, kind: Any, path: str = ""
) -> Iterator[_problems.Problem]:
    """Finds unknown and missing fields and values of another type.

    Args:
        plain: What YAML or JSON gave.
        kind: Data class, or type of one of its fields.
        path: Field that `plain` stands in.

    Yields:
        Each fault, in the order of the fields.
    """
    kind = getattr(kind, "__supertype__", kind)
    origin = typing.get_origin(kind)
    if dataclasses.is_dataclass(kind):
        yield from _check_fields(plain, kind, path)
    elif origin is tuple:
        yield from _check_items(plain, typing.get_args(kind)[0], path)
    elif origin in (typing.Union, types.UnionType):
        yield from _check_optional(plain, kind, path)
    elif isinstance(kind, type) and issubclass(kind, enum.Enum):
        allowed = [member.value for member in kind]
        if plain not in allowed:
            yield _wrong(path, f"one of {', '.join(allowed)}", plain)
    elif not _is_scalar(plain, kind):
        yield _wrong(path, _WANTED[kind], plain)


def _check_fields(
    plain: Any, kind: Any, path: str
) -> Iterator[_problems.Problem]:
    hints = _hints(kind)
    if not isinstance(plain, Mapping):
        yield _wrong(path, f"a mapping with {', '.join(hints)}", plain)
        return
    prefix = f"{path}." if path else ""
    for name in plain:
        if name not in hints:
            yield _problems.Problem(
                f"{prefix}{name}", _unknown(str(name), tuple(hints))
            )
    for field in dataclasses.fields(kind):
        if field.name in plain:
            yield from check_schema(
                plain[field.name], hints[field.name], f"{prefix}{field.name}"
            )
        elif _is_required(field):
            yield _problems.Problem(
                path, f"lacks the required field {field.name!r}"
            )


def _is_required(field: dataclasses.Field[Any]) -> bool:
    has_default = field.default is not dataclasses.MISSING
    return not has_default and field.default_factory is dataclasses.MISSING


def _check_items(
    plain: Any, kind: Any, path: str
) -> Iterator[_problems.Problem]:
    if not isinstance(plain, (list, tuple)):
        yield _wrong(path, "a list", plain)
        return
    for index, item in enumerate(plain):
        yield from check_schema(item, kind, f"{path}[{index}]")


def _check_optional(
    plain: Any, kind: Any, path: str
) -> Iterator[_problems.Problem]:
    if plain is not None:
        [inner] = [a for a in typing.get_args(kind) if a is not type(None)]
        yield from check_schema(plain, inner, path)


def _is_scalar(plain: Any, kind: type) -> bool:
    if isinstance(plain, bool):
        return kind is bool
    if kind is float:
        return isinstance(plain, (int, float))
    return isinstance(plain, kind)


@functools.cache
def _hints(kind: Any) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def _unknown(name: str, known: tuple[str, ...]) -> str:
    near = difflib.get_close_matches(name, known, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"is not a known field{hint} Allowed: {', '.join(known)}"


def _wrong(path: str, wanted: str, plain: Any) -> _problems.Problem:
    shown = repr(plain)
    if len(shown) > _SHOWN_CHARACTERS:
        shown = f"{shown[:_SHOWN_CHARACTERS]}..."
    hint = ""
    if wanted == _WANTED[str] and plain is not None:
        hint = "; put it in quotes to have it read as text"
    return _problems.Problem(path, f"must be {wanted}, is {shown}{hint}")
