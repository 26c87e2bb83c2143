"""Loads the key that all nodes share."""

import pathlib

from lagooncrank import results
from lagooncrank.settings import _problems
from lagooncrank.settings import _process

#: Minimum key length; a shorter key could be guessed.
MIN_KEY_BYTES = 16


def load_shared_key(process_settings: _process.ProcessSettings) -> bytes:
    """Returns the shared key without surrounding white space.

    Raises:
        SettingsError: The file cannot be read, or the key is too short.
    """
    path = process_settings.shared_key_file
    try:
        key = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise _settings_error(
            path, f"cannot be read: {error.strerror}"
        ) from error
    if len(key) < MIN_KEY_BYTES:
        raise _settings_error(
            path,
            f"holds a key of {len(key)} bytes; write one of at least "
            f"{MIN_KEY_BYTES}, the same at every node",
        )
    return key


def _settings_error(path: str, message: str) -> _problems.SettingsError:
    code = results.ResultCode.INVALID_SETTINGS
    problem = _problems.Problem("", message)
    return _problems.SettingsError(code, path, [problem])
