"""Reads YAML files into checked data classes."""

import pathlib
from typing import Any
from typing import TypeVar

import msgspec
import yaml

from lagooncrank import model
from lagooncrank import results
from lagooncrank.settings import _checks
from lagooncrank.settings import _process

T = TypeVar("T")


class SettingsError(results.LagooncrankError):
    """A settings or declarations file that cannot be used."""

    def __init__(
        self, code: results.ResultCode, source: str, field: str, problem: str
    ) -> None:
        self.source = source
        self.field = field
        self.problem = problem
        place = f"{source}: {field}" if field else source
        super().__init__(results.Refusal(code, f"{place}: {problem}"))


def parse(text: str, kind: type[T], source: str, code: results.ResultCode) -> T:
    """Builds a `kind` from YAML text.

    Raises:
        SettingsError: The text is no YAML, or a field is missing or wrong.
    """
    try:
        plain: Any = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(code, source, "", f"not YAML: {error}") from error
    try:
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError as error:
        problem, _, field = str(error).partition(" - at ")
        field = field.strip("`").removeprefix("$").removeprefix(".")
        raise SettingsError(code, source, field, problem) from error


def load_process_settings(path: pathlib.Path) -> _process.ProcessSettings:
    """Reads the settings file of a daemon.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    code = results.ResultCode.INVALID_SETTINGS
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(code, str(path), "", str(error)) from error
    return parse(text, _process.ProcessSettings, str(path), code)


def parse_declarations(text: str, source: str) -> model.Declarations:
    """Builds declarations from YAML text.

    Raises:
        SettingsError: The text is no YAML, or a field is missing or wrong.
    """
    code = results.ResultCode.INVALID_DECLARATIONS
    declarations = parse(text, model.Declarations, source, code)
    for problem in _checks.check_declarations(declarations):
        raise SettingsError(code, source, problem.field, problem.message)
    return declarations
