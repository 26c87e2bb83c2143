"""Reads YAML of unknown origin into plain values, with their lines.

Only what settings need is allowed: one document of mappings, lists and
scalars. Aliases, tags, duplicate keys and great size or depth are refused,
since each can cost the reader far more than it cost the writer or can hide
what the file says.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any

import yaml

from lagooncrank.settings import _problems

#: Largest file, in bytes of UTF-8.
MAX_FILE_BYTES = 4_194_304
#: Deepest nesting of lists and mappings.
MAX_DEPTH = 16
#: Most lists, mappings and scalars in one file.
MAX_NODES = 400_000

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class DocumentError(Exception):
    """Text that is no acceptable YAML document."""

    def __init__(self, problem: _problems.Problem) -> None:
        self.problem = problem
        super().__init__(str(problem))


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Plain values and the line that each field stands on."""

    plain: Any
    #: Line, from 1, by field path such as "client_accounts[0].share".
    lines: dict[str, int]

    def line_of(self, field: str) -> int | None:
        """Returns the line of a field, or of the nearest one around it."""
        while field and field not in self.lines:
            field = field[: max(field.rfind("."), field.rfind("["), 0)]
        return self.lines.get(field)


def read_document(text: str) -> Document:
    """Returns the plain values of one YAML document.

    >>> read_document("a: [1, 2]").plain
    {'a': [1, 2]}

    Raises:
        DocumentError: The text is not YAML or uses what is not allowed.
    """
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_FILE_BYTES:
        raise _error(
            f"is {size_bytes} bytes, must be at most {MAX_FILE_BYTES}", None
        )
    try:
        _check_events(text)
        root = yaml.compose(text, Loader=_LOADER)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise _error(f"is not YAML: {error.problem}", mark) from error
    except (yaml.YAMLError, ValueError) as error:
        raise _error(f"is not YAML: {error}", None) from error
    if root is None:
        raise _error("is empty", None)
    reader = _Reader()
    return Document(reader.value(root, ""), reader.lines)


def _check_events(text: str) -> None:
    depth = 0
    documents = 0
    for count, event in enumerate(_events(text)):
        if count > MAX_NODES:
            raise _error(f"holds over {MAX_NODES} items", event.start_mark)
        documents += isinstance(event, yaml.DocumentStartEvent)
        if documents > 1:
            raise _error(
                "holds a second document; use one file for each",
                event.start_mark,
            )
        depth += isinstance(event, yaml.CollectionStartEvent)
        depth -= isinstance(event, yaml.CollectionEndEvent)
        if depth > MAX_DEPTH:
            raise _error(
                f"is nested over {MAX_DEPTH} levels deep", event.start_mark
            )
        _check_event(event)


def _events(text: str) -> Iterator[Any]:
    yield from yaml.parse(text, Loader=_LOADER)


def _check_event(event: Any) -> None:
    if isinstance(event, yaml.AliasEvent):
        raise _error(
            f"uses the alias *{event.anchor}; write the value out",
            event.start_mark,
        )
    if getattr(event, "tag", None) is not None:
        raise _error(
            f"uses the tag {event.tag!r}; tags are not allowed, write the "
            "plain value",
            event.start_mark,
        )


class _Reader:
    """Turns composed nodes into plain values and notes their lines."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self._scalars = yaml.constructor.SafeConstructor()

    def value(self, node: yaml.Node, path: str) -> Any:
        self.lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            return self._mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.value(item, f"{path}[{index}]")
                for index, item in enumerate(node.value)
            ]
        return self._scalar(node)

    def _mapping(self, node: yaml.MappingNode, path: str) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = self._key(key_node)
            if key in result:
                raise _error(
                    f"has the key {key!r} twice; keep one",
                    key_node.start_mark,
                )
            field = f"{path}.{key}" if path else key
            result[key] = self.value(value_node, field)
            self.lines[field] = key_node.start_mark.line + 1
        return result

    def _key(self, node: yaml.Node) -> str:
        if not isinstance(node, yaml.ScalarNode):
            raise _error("has a key that is no plain word", node.start_mark)
        key: str = node.value
        return key

    def _scalar(self, node: yaml.Node) -> Any:
        try:
            return self._scalars.construct_object(node)
        except (yaml.YAMLError, ValueError, OverflowError) as error:
            raise _error(
                f"has a value that cannot be read: {error}", node.start_mark
            ) from error


def _error(message: str, mark: Any) -> DocumentError:
    line = mark.line + 1 if mark else None
    return DocumentError(_problems.Problem("", message, line))
