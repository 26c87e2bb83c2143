"""Compares two sets of declarations."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

from lagooncrank import model

#: Value of a field that one side lacks.
ABSENT = None


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A field whose value differs between two sets of declarations."""

    #: Path of the field, such as "client_accounts[acme].share"; list items
    #: are identified by their name.
    field: str
    #: Value in the accepted declarations, or None if absent.
    accepted: Any
    #: Value in the file, or None if absent.
    file: Any


def differences(
    accepted: model.Declarations, file: model.Declarations
) -> list[Difference]:
    """Returns each field that differs; matches list items by name.

    >>> file = model.Declarations(leases=model.LeaseRules(configuration_ms=5))
    >>> differences(model.Declarations(), file)
    [Difference(field='leases.configuration_ms', accepted=10000, file=5)]
    """
    return list(
        _compare("", model.to_builtins(accepted), model.to_builtins(file))
    )


def _compare(field: str, accepted: Any, file: Any) -> Iterator[Difference]:
    if accepted == file:
        return
    old, new = _by_name(accepted), _by_name(file)
    if old is None or new is None:
        yield Difference(field, accepted, file)
        return
    for name in [*old, *(n for n in new if n not in old)]:
        inner = _inner_field(field, name, isinstance(file, Mapping))
        if name not in old or name not in new:
            yield Difference(
                inner, old.get(name, ABSENT), new.get(name, ABSENT)
            )
        else:
            yield from _compare(inner, old[name], new[name])


def _inner_field(field: str, name: str, in_mapping: bool) -> str:
    if not in_mapping:
        return f"{field}[{name}]"
    return f"{field}.{name}" if field else name


def _by_name(value: Any) -> Mapping[str, Any] | None:
    """Returns a mapping as it is, and a list of named items keyed by name.

    Returns None for any other value.
    """
    if isinstance(value, Mapping):
        return value
    if not isinstance(value, Sequence) or isinstance(value, str):
        return None
    if not all(isinstance(v, Mapping) and "name" in v for v in value):
        return None
    return {item["name"]: item for item in value}
