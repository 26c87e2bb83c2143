"""CBOR encoding of commands in the replicated log."""

import cbor2

from lagooncrank import model
from lagooncrank import registry
from lagooncrank.core.state import _commands

_KIND_BY_TYPE = {
    command_type: kind for kind, command_type in _commands.COMMANDS
}


class UnknownCommandError(Exception):
    """A log entry has a kind that only a newer version of the system knows."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        super().__init__(
            f"log entry kind {kind!r} is unknown to this version; "
            "start a version that supports it"
        )


def encode_command(command: _commands.Command) -> bytes:
    """Returns the encoded form of a command.

    >>> decode_command(encode_command(_commands.NoOp()))
    NoOp()
    """
    fields = model.to_builtins(command)
    return cbor2.dumps([_KIND_BY_TYPE[type(command)], fields])


def decode_command(data: bytes) -> _commands.Command:
    """Returns the command encoded in `data` by `encode_command`.

    Raises:
        UnknownCommandError: The kind of command is not registered.
        cbor2.CBORDecodeError: `data` is not valid CBOR.
        msgspec.ValidationError: A field is missing or has a wrong type.
    """
    kind, fields = cbor2.loads(data)
    try:
        command_type = _commands.COMMANDS.get(kind)
    except registry.UnknownNameError as error:
        raise UnknownCommandError(kind) from error
    command: _commands.Command = model.from_builtins(fields, command_type)
    return command
