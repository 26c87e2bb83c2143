"""Options and arguments that several commands share."""

import pathlib
from typing import Annotated

import typer

from lagooncrank import results
from lagooncrank.cli import _client
from lagooncrank.cli import _output

Entries = Annotated[
    list[str],
    typer.Option(
        "--entry",
        "-e",
        envvar="LAGOONCRANK_ENTRIES",
        metavar="IP:PORT",
        help="Address of an entry; repeatable, entries are tried in order.",
    ),
]
KeyFile = Annotated[
    pathlib.Path,
    typer.Option(
        "--key-file",
        "-k",
        envvar="LAGOONCRANK_KEY_FILE",
        help="File that holds the operator key.",
    ),
]
Output = Annotated[
    _output.OutputFormat,
    typer.Option("--output", "-o", help="Format of the result."),
]
DeclarationsFile = Annotated[
    pathlib.Path,
    typer.Argument(
        metavar="DECLARATIONS", help="YAML file with the declarations."
    ),
]


def operator_client(
    entries: list[str], key_file: pathlib.Path
) -> _client.OperatorClient:
    """Returns a client that authenticates with the key in `key_file`.

    Raises:
        LagooncrankError: The file cannot be read, or holds no valid key.
    """
    try:
        key = key_file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _key_error(f"cannot read the operator key: {error}") from error
    if not key or not key.isascii() or not key.isprintable():
        raise _key_error(f"{key_file} must hold one key of ASCII characters")
    return _client.OperatorClient(entries, key)


def _key_error(reason: str) -> results.LagooncrankError:
    code = results.ResultCode.UNAUTHENTICATED
    return results.LagooncrankError(results.Refusal(code, reason))
