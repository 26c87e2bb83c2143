"""Parses untrusted YAML into builtin values with line numbers.

Only the subset that settings need is accepted: one document of mappings, lists
and scalars. Aliases, tags, duplicate keys and excessive size or depth are
rejected, because each can make a small file expensive to parse or obscure the
content of the file.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any

import yaml

from lagooncrank.settings import _problems

#: Maximum file size, in bytes of UTF-8.
MAX_FILE_BYTES = 4_194_304
#: Maximum nesting depth of lists and mappings.
MAX_DEPTH = 16
#: Maximum number of parser events in one file, about one for each scalar and
#: two for each list or mapping.
MAX_EVENTS = 400_000

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class YamlDocumentError(Exception):
    """A text is not an accepted YAML document."""

    def __init__(self, problem: _problems.Problem) -> None:
        self.problem = problem
        super().__init__(str(problem))


@dataclasses.dataclass(frozen=True, slots=True)
class YamlDocument:
    """Content of a YAML document and the line of each field."""

    content: Any
    #: Line number, from 1, by field path such as "client_accounts[0].share".
    lines: dict[str, int]

    def find_line(self, field: str) -> int | None:
        """Returns the line of a field, or of the innermost enclosing field."""
        while field and field not in self.lines:
            field = field[: max(field.rfind("."), field.rfind("["), 0)]
        return self.lines.get(field)


def parse_document(text: str) -> YamlDocument:
    """Parses a text with one YAML document.

    >>> parse_document("a: [1, 2]").content
    {'a': [1, 2]}

    Raises:
        YamlDocumentError: The text is not valid YAML or uses a construct that
            is not allowed.
    """
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_FILE_BYTES:
        raise _document_error(
            f"is {size_bytes} bytes, must be at most {MAX_FILE_BYTES}", None
        )
    try:
        _check_events(text)
        root = yaml.compose(text, Loader=_LOADER)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise _document_error(
            f"is not valid YAML: {error.problem}", mark
        ) from error
    except (yaml.YAMLError, ValueError) as error:
        raise _document_error(f"is not valid YAML: {error}", None) from error
    if root is None:
        raise _document_error("is empty", None)
    converter = _NodeConverter()
    return YamlDocument(converter.convert(root, ""), converter.lines)


def _check_events(text: str) -> None:
    depth = 0
    documents = 0
    for count, event in enumerate(_parse_events(text)):
        if count > MAX_EVENTS:
            raise _document_error(
                f"contains more than {MAX_EVENTS} items", event.start_mark
            )
        documents += isinstance(event, yaml.DocumentStartEvent)
        if documents > 1:
            raise _document_error(
                "contains a second document; use a file for each document",
                event.start_mark,
            )
        depth += isinstance(event, yaml.CollectionStartEvent)
        depth -= isinstance(event, yaml.CollectionEndEvent)
        if depth > MAX_DEPTH:
            raise _document_error(
                f"is nested more than {MAX_DEPTH} levels deep", event.start_mark
            )
        _check_event(event)


def _parse_events(text: str) -> Iterator[Any]:
    yield from yaml.parse(text, Loader=_LOADER)


def _check_event(event: Any) -> None:
    if isinstance(event, yaml.AliasEvent):
        raise _document_error(
            f"uses the alias *{event.anchor}; repeat the value instead",
            event.start_mark,
        )
    if getattr(event, "tag", None) is not None:
        raise _document_error(
            f"uses the tag {event.tag!r}; tags are not allowed, use a plain "
            "value",
            event.start_mark,
        )


class _NodeConverter:
    """Converts YAML nodes to builtin values and records their lines."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self._scalars = yaml.constructor.SafeConstructor()

    def convert(self, node: yaml.Node, path: str) -> Any:
        self.lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            return self._convert_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.convert(item, f"{path}[{index}]")
                for index, item in enumerate(node.value)
            ]
        return self._convert_scalar(node)

    def _convert_mapping(
        self, node: yaml.MappingNode, path: str
    ) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = self._convert_key(key_node)
            if key in result:
                raise _document_error(
                    f"has the key {key!r} twice; remove one",
                    key_node.start_mark,
                )
            field = f"{path}.{key}" if path else key
            result[key] = self.convert(value_node, field)
            self.lines[field] = key_node.start_mark.line + 1
        return result

    def _convert_key(self, node: yaml.Node) -> str:
        if not isinstance(node, yaml.ScalarNode):
            raise _document_error(
                "has a key that is not a scalar", node.start_mark
            )
        key: str = node.value
        return key

    def _convert_scalar(self, node: yaml.Node) -> Any:
        try:
            return self._scalars.construct_object(node)
        except (yaml.YAMLError, ValueError, OverflowError) as error:
            raise _document_error(
                f"has an invalid value: {error}", node.start_mark
            ) from error


def _document_error(message: str, mark: Any) -> YamlDocumentError:
    line = mark.line + 1 if mark else None
    return YamlDocumentError(_problems.Problem("", message, line))
