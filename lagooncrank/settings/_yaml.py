"""Loads YAML files into validated data classes."""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from lagooncrank import model
from lagooncrank import results
from lagooncrank.settings import _declaration_checks
from lagooncrank.settings import _problems
from lagooncrank.settings import _process
from lagooncrank.settings import _process_checks
from lagooncrank.settings import _schema
from lagooncrank.settings import _yaml_document

T = TypeVar("T")


def parse(
    text: str, target_type: type[T], source: str, code: results.ResultCode
) -> T:
    """Builds an instance of `target_type` from YAML text.

    Raises:
        SettingsError: The text is not valid YAML, or a field is missing or
            invalid.
    """
    return _parse(text, target_type, source, code)[0]


def load(
    path: pathlib.Path, target_type: type[T], code: results.ResultCode
) -> T:
    """Builds an instance of `target_type` from a YAML file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    return parse(_read(path, code), target_type, str(path), code)


def load_process_settings(path: pathlib.Path) -> _process.ProcessSettings:
    """Loads the settings file of a daemon.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    code = results.ResultCode.INVALID_SETTINGS
    text = _read(path, code)
    return parse_process_settings(text, str(path))


def parse_process_settings(text: str, source: str) -> _process.ProcessSettings:
    """Builds process settings from YAML text.

    Raises:
        SettingsError: The text is not valid YAML, or a field is missing or
            invalid.
    """
    code = results.ResultCode.INVALID_SETTINGS
    target_type = _process.ProcessSettings
    process_settings, document = _parse(text, target_type, source, code)
    problems = _process_checks.check_process_settings(process_settings)
    _raise_problems(problems, document, source, code)
    return process_settings


def load_declarations(path: pathlib.Path) -> model.Declarations:
    """Loads a declarations file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    code = results.ResultCode.INVALID_DECLARATIONS
    return parse_declarations(_read(path, code), str(path))


def parse_declarations(text: str, source: str) -> model.Declarations:
    """Builds declarations from YAML text.

    Raises:
        SettingsError: The text is not valid YAML, or a field is missing or
            invalid.
    """
    code = results.ResultCode.INVALID_DECLARATIONS
    declarations, document = _parse(text, model.Declarations, source, code)
    problems = _declaration_checks.check_declarations(declarations)
    _raise_problems(problems, document, source, code)
    return declarations


def _read(path: pathlib.Path, code: results.ResultCode) -> str:
    limit_bytes = _yaml_document.MAX_FILE_BYTES
    try:
        with path.open("rb") as file:
            data = file.read(limit_bytes + 1)
        if len(data) > limit_bytes:
            problem = f"is larger than {limit_bytes} bytes"
            raise _file_error(code, path, problem)
        return data.decode("utf-8")
    except OSError as error:
        problem = f"cannot be read: {error.strerror}"
        raise _file_error(code, path, problem) from error
    except UnicodeDecodeError as error:
        problem = f"is not valid UTF-8 at byte {error.start}"
        raise _file_error(code, path, problem) from error


def _file_error(
    code: results.ResultCode, path: pathlib.Path, message: str
) -> _problems.SettingsError:
    problem = _problems.Problem("", message)
    return _problems.SettingsError(code, str(path), [problem])


def _parse(
    text: str, target_type: type[T], source: str, code: results.ResultCode
) -> tuple[T, _yaml_document.YamlDocument]:
    try:
        document = _yaml_document.parse_document(text)
    except _yaml_document.YamlDocumentError as error:
        raise _problems.SettingsError(code, source, [error.problem]) from error
    _raise_problems(
        _schema.check_schema(document.content, target_type),
        document,
        source,
        code,
    )
    return _convert(document.content, target_type, source, code), document


def _convert(
    content: Any, target_type: type[T], source: str, code: results.ResultCode
) -> T:
    try:
        return msgspec.convert(content, target_type)
    except msgspec.ValidationError as error:
        problem = _problems.Problem("", str(error))
        raise _problems.SettingsError(code, source, [problem]) from error


def _raise_problems(
    problems: Iterable[_problems.Problem],
    document: _yaml_document.YamlDocument,
    source: str,
    code: results.ResultCode,
) -> None:
    located = [
        dataclasses.replace(problem, line=document.find_line(problem.field))
        for problem in problems
    ]
    if located:
        raise _problems.SettingsError(code, source, located)
