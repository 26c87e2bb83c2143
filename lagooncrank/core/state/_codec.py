"""Bytes of commands as the replicated log stores them."""

import cbor2

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core.state import _commands

_KINDS = {kind: name for name, kind in _commands.COMMANDS}


class UnknownCommandError(Exception):
    """A log entry that a newer version of the system wrote."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        super().__init__(
            f"log entry of kind {kind!r} is unknown to this version; "
            "start a version that knows it"
        )


def encode_command(command: _commands.Command) -> bytes:
    """Returns the bytes of a command.

    >>> decode_command(encode_command(_commands.NoOp()))
    NoOp()
    """
    plain = model.to_plain(command)
    return cbor2.dumps([_KINDS[type(command)], plain])


def decode_command(data: bytes) -> _commands.Command:
    """Returns the command that `encode_command` turned into `data`.

    Raises:
        UnknownCommandError: The kind of command is not registered.
        cbor2.CBORDecodeError: `data` is no CBOR.
        msgspec.ValidationError: A field is missing or of another type.
    """
    kind, plain = cbor2.loads(data)
    try:
        command_type = _commands.COMMANDS.get(kind)
    except registry.UnknownNameError as error:
        raise UnknownCommandError(kind) from error
    command: _commands.Command = model.from_plain(plain, command_type)
    return command
