"""Formats of names, key digests and addresses in settings files."""

import ipaddress
import re

MAX_PORT = 65_535
#: Format of a name, for messages.
NAME_RULE = "1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"
#: Format of a key digest, for messages.
KEY_DIGEST_RULE = (
    "64 lower-case hexadecimal digits: the SHA-256 of the key, never the key "
    "itself"
)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_KEY_DIGEST = re.compile(r"[0-9a-f]{64}")


def is_name(text: str) -> bool:
    """Returns whether `text` is a valid service, account or node name.

    >>> is_name("call-centre"), is_name("call centre")
    (True, False)
    """
    return _NAME.fullmatch(text) is not None


def is_key_digest(text: str) -> bool:
    """Returns whether `text` is a SHA-256 in lower-case hexadecimal."""
    return _KEY_DIGEST.fullmatch(text) is not None


def is_ip(text: str) -> bool:
    """Returns whether `text` is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def is_address(text: str) -> bool:
    """Returns whether `text` is an IP address with a port.

    >>> is_address("10.0.0.1:7000"), is_address("[::1]:7000")
    (True, True)
    >>> is_address("localhost:7000"), is_address("10.0.0.1")
    (False, False)
    """
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return False
    if host.startswith("[") and host.endswith("]"):
        return is_ip(host[1:-1])
    return is_ip(host) and ":" not in host
