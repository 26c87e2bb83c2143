"""Reads YAML files into checked data classes."""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from lagooncrank import model
from lagooncrank import results
from lagooncrank.settings import _checks
from lagooncrank.settings import _document
from lagooncrank.settings import _problems
from lagooncrank.settings import _process
from lagooncrank.settings import _process_checks
from lagooncrank.settings import _schema

T = TypeVar("T")


def parse(text: str, kind: type[T], source: str, code: results.ResultCode) -> T:
    """Builds a `kind` from YAML text.

    Raises:
        SettingsError: The text is no YAML, or a field is missing or wrong.
    """
    return _parse(text, kind, source, code)[0]


def load(path: pathlib.Path, kind: type[T], code: results.ResultCode) -> T:
    """Builds a `kind` from a YAML file.

    Raises:
        SettingsError: The file cannot be read, or a field is wrong.
    """
    return parse(_read(path, code), kind, str(path), code)


def load_process_settings(path: pathlib.Path) -> _process.ProcessSettings:
    """Reads the settings file of a daemon.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    code = results.ResultCode.INVALID_SETTINGS
    text = _read(path, code)
    return parse_process_settings(text, str(path))


def parse_process_settings(text: str, source: str) -> _process.ProcessSettings:
    """Builds process settings from YAML text.

    Raises:
        SettingsError: The text is no YAML, or a field is missing or wrong.
    """
    code = results.ResultCode.INVALID_SETTINGS
    kind = _process.ProcessSettings
    process_settings, document = _parse(text, kind, source, code)
    problems = _process_checks.check_process_settings(process_settings)
    _raise_any(problems, document, source, code)
    return process_settings


def load_declarations(path: pathlib.Path) -> model.Declarations:
    """Reads a declarations file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    code = results.ResultCode.INVALID_DECLARATIONS
    return parse_declarations(_read(path, code), str(path))


def parse_declarations(text: str, source: str) -> model.Declarations:
    """Builds declarations from YAML text.

    Raises:
        SettingsError: The text is no YAML, or a field is missing or wrong.
    """
    code = results.ResultCode.INVALID_DECLARATIONS
    declarations, document = _parse(text, model.Declarations, source, code)
    problems = _checks.check_declarations(declarations)
    _raise_any(problems, document, source, code)
    return declarations


def _read(path: pathlib.Path, code: results.ResultCode) -> str:
    limit_bytes = _document.MAX_FILE_BYTES
    try:
        with path.open("rb") as file:
            data = file.read(limit_bytes + 1)
        if len(data) > limit_bytes:
            problem = f"is over {limit_bytes} bytes"
            raise _one_problem(code, path, problem)
        return data.decode("utf-8")
    except OSError as error:
        problem = f"cannot be read: {error.strerror}"
        raise _one_problem(code, path, problem) from error
    except UnicodeDecodeError as error:
        problem = f"is not UTF-8 at byte {error.start}"
        raise _one_problem(code, path, problem) from error


def _one_problem(
    code: results.ResultCode, path: pathlib.Path, message: str
) -> _problems.SettingsError:
    problem = _problems.Problem("", message)
    return _problems.SettingsError(code, str(path), [problem])


def _parse(
    text: str, kind: type[T], source: str, code: results.ResultCode
) -> tuple[T, _document.Document]:
    try:
        document = _document.read_document(text)
    except _document.DocumentError as error:
        raise _problems.SettingsError(code, source, [error.problem]) from error
    _raise_any(
        _schema.check_schema(document.plain, kind), document, source, code
    )
    return _convert(document.plain, kind, source, code), document


def _convert(
    plain: Any, kind: type[T], source: str, code: results.ResultCode
) -> T:
    try:
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError as error:
        problem = _problems.Problem("", str(error))
        raise _problems.SettingsError(code, source, [problem]) from error


def _raise_any(
    problems: Iterable[_problems.Problem],
    document: _document.Document,
    source: str,
    code: results.ResultCode,
) -> None:
    placed = [
        dataclasses.replace(problem, line=document.line_of(problem.field))
        for problem in problems
    ]
    if placed:
        raise _problems.SettingsError(code, source, placed)
