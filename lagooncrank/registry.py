"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class UnknownNameError(KeyError):
    """A name is not registered."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        self.kind = kind
        self.name = name
        self.known = known
        super().__init__(
            f"{kind} {name!r} is not registered; use one of {', '.join(known)}"
        )


class Registry(Generic[T]):
    """Maps names to registered values.

    >>> shapes: Registry[type] = Registry("shape")
    >>> @shapes.register("square")
    ... class Square: ...
    >>> shapes.get("square") is Square
    True
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._values: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its target under `name`.

        Raises:
            ValueError: The decorator is applied and `name` is registered
                already.
        """

        def decorate(value: T) -> T:
            if name in self._values:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._values[name] = value
            return value

        return decorate

    def get(self, name: str) -> T:
        """Returns the value registered under `name`.

        Raises:
            UnknownNameError: Nothing is registered under `name`.
        """
        if name not in self._values:
            raise UnknownNameError(self._kind, name, self.names())
        return self._values[name]

    def names(self) -> tuple[str, ...]:
        """Returns the registered names in alphabetical order."""
        return tuple(sorted(self._values))

    def __iter__(self) -> Iterator[tuple[str, T]]:
        return iter(sorted(self._values.items(), key=lambda item: item[0]))
