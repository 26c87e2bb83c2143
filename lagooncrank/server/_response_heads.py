"""Decides whether the head of an HTTP response is one, before it is parsed.

The parsers of the HTTP library accept more than HTTP/1.1 does, and its compiled
parser accepts other heads than the one in Python. A head is therefore checked
line by line as it arrives, against the grammar of RFC 9110 and RFC 9112, and is
passed to a parser only once all of it is valid.
"""

import enum
import re
from typing import Final

#: Statuses of the classes that RFC 9110, section 15, defines.
_STATUSES: Final = range(100, 600)
_FIRST_FINAL_STATUS: Final = 200
#: Answers a request for another protocol, which this system never makes.
_SWITCHING_PROTOCOLS: Final = 101
#: Start of each status line; other bytes are rejected without a line end.
_VERSION_START: Final = b"HTTP/1."
#: Version 1.0 or 1.1, a status, and a reason without control bytes.
_STATUS_LINE: Final = re.compile(
    rb"HTTP/1\.[01] ([0-9]{3})(?: [\t -~\x80-\xff]*)?"
)
#: A name (a token of RFC 9110, section 5.6.2) and a colon, with no blank before
#: either: one at the start would also continue the line before.
_HEADER_NAME: Final = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):")
#: A value: no control bytes but tabs (RFC 9110, section 5.5).
_HEADER_VALUE: Final = re.compile(rb"[\t -~\x80-\xff]*")
#: Length of a body. Longer numbers are beyond each limit on bodies.
_LENGTH: Final = re.compile(rb"[0-9]{1,18}")
#: The only coding that responses may have, as requests ask for no other.
_CODING: Final = b"chunked"
#: Part of an invalid line that is kept for the log.
EXCERPT_BYTES: Final = 80


class Problem(enum.StrEnum):
    """Why bytes of a server are no response."""

    meaning: str

    def __new__(cls, value: str, meaning: str) -> "Problem":
        """Creates a member from its name in metrics and its meaning."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.meaning = meaning
        return member

    STATUS_LINE = "status_line", "its first line is no status line"
    STATUS = "status", "its status is not one of a response to a request"
    HEADER_NAME = "header_name", "a line of its head begins with no valid name"
    HEADER_VALUE = "header_value", "a value in its head has a control byte"
    FRAMING = "framing", "its head does not tell where the body ends"
    SYNTAX = "syntax", "the HTTP parser rejects it"


class MalformedHeadError(Exception):
    """The head of a response is invalid."""

    def __init__(self, problem: Problem, line: bytes) -> None:
        self.problem = problem
        #: Start of the invalid line.
        self.excerpt = line[:EXCERPT_BYTES]
        super().__init__(f"{problem.meaning}: {self.excerpt!r}")


class HeadReader:
    r"""Collects the head of one response, and checks each of its lines.

    >>> reader = HeadReader()
    >>> reader.feed(b"HTTP/1.1 204 No Content\r\n\r\nmore")
    27
    >>> reader.is_complete, reader.is_interim
    (True, False)
    """

    def __init__(self) -> None:
        self._received = bytearray()
        #: End of the empty lines before the head, which are ignored.
        self._head_start = 0
        self._line_start = 0
        self._status: int | None = None
        #: Values of the headers that frame the body.
        self._lengths: list[bytes] = []
        self._codings: list[bytes] = []
        #: Whether the empty line at the end of the head was received.
        self.is_complete = False

    @property
    def content(self) -> bytes:
        """The bytes of the head so far."""
        return bytes(self._received[self._head_start :])

    @property
    def size_bytes(self) -> int:
        """Number of the bytes so far, with empty lines before the head."""
        return len(self._received)

    @property
    def is_interim(self) -> bool:
        """Whether another head follows, that of the final response."""
        return self._status is not None and self._status < _FIRST_FINAL_STATUS

    def feed(self, data: bytes) -> int:
        """Accepts bytes up to the end of the head.

        Returns:
            The number of bytes that belong to the head.

        Raises:
            MalformedHeadError: A line is invalid.
        """
        earlier_bytes = len(self._received)
        self._received += data
        search_start = earlier_bytes
        while (end := self._received.find(b"\n", search_start)) >= 0:
            line = bytes(self._received[self._line_start : end])
            self._line_start = search_start = end + 1
            # A line may end without CR (RFC 9112, section 2.2).
            self._check_line(line.removesuffix(b"\r"))
            if self.is_complete:
                del self._received[self._line_start :]
                return self._line_start - earlier_bytes
        if self._status is None:
            self._check_start()
        return len(data)

    def _check_start(self) -> None:
        """Checks the first bytes of a status line that is not complete."""
        end = self._line_start + EXCERPT_BYTES
        line = bytes(self._received[self._line_start : end])
        start = line[: len(_VERSION_START)]
        if start != b"\r" and not _VERSION_START.startswith(start):
            raise MalformedHeadError(Problem.STATUS_LINE, line)

    def _check_line(self, line: bytes) -> None:
        if self._status is None:
            self._check_first_line(line)
        elif line:
            self._check_header(line)
        else:
            self._check_framing()
            self.is_complete = True

    def _check_header(self, line: bytes) -> None:
        found = _HEADER_NAME.match(line)
        if found is None:
            raise MalformedHeadError(Problem.HEADER_NAME, line)
        if _HEADER_VALUE.fullmatch(line, found.end()) is None:
            raise MalformedHeadError(Problem.HEADER_VALUE, line)
        name = found[1].lower()
        if name == b"content-length":
            self._lengths.append(line[found.end() :].strip(b" \t"))
        elif name == b"transfer-encoding":
            self._codings.append(line[found.end() :].strip(b" \t").lower())

    def _check_framing(self) -> None:
        """Checks that all recipients see the same end of the body.

        An interim response has no body, whatever its head states (RFC 9112,
        section 6.3).
        """
        framing = (*self._lengths, *self._codings)
        if self.is_interim or not framing:
            return
        is_length = bool(self._lengths) and _LENGTH.fullmatch(framing[0])
        if len(framing) > 1 or not (is_length or self._codings == [_CODING]):
            raise MalformedHeadError(Problem.FRAMING, b", ".join(framing))

    def _check_first_line(self, line: bytes) -> None:
        if line:
            self._status = _parse_status(line)
        else:
            self._head_start = self._line_start


def _parse_status(line: bytes) -> int:
    """Returns the status of a response to a request.

    Raises:
        MalformedHeadError: There is none.
    """
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise MalformedHeadError(Problem.STATUS_LINE, line)
    status = int(found[1])
    if status not in _STATUSES or status == _SWITCHING_PROTOCOLS:
        raise MalformedHeadError(Problem.STATUS, line)
    return status
