"""Which bytes are the head of a response."""

import itertools
import string

import pytest

from lagooncrank.server import _response_heads
from lagooncrank.server._response_heads import Problem

OK = b"HTTP/1.1 200 OK\r\n"
#: Status lines, and why none of them begins a response; None if one does.
STATUS_LINES = {
    b"HTTP/1.1 200 OK": None,
    b"HTTP/1.0 200 OK": None,
    b"HTTP/1.1 200 ": None,
    b"HTTP/1.1 200": None,
    b"HTTP/1.1 299 Sehr \xfc\tgut": None,
    b"HTTP/1.1 599 ;:(\x80": None,
    b"HTTP/1.1 100 Continue": None,
    b"HTTP/1.1 199 ": None,
    b"HTTP/1.1 099 Odd": Problem.STATUS,
    b"HTTP/1.1 000": Problem.STATUS,
    b"HTTP/1.1 101 Switching Protocols": Problem.STATUS,
    b"HTTP/1.1 600 Odd": Problem.STATUS,
    b"HTTP/1.1 999 Odd": Problem.STATUS,
    b"HTTP/1.1 20 OK": Problem.STATUS_LINE,
    b"HTTP/1.1 2000 OK": Problem.STATUS_LINE,
    b"HTTP/1.1 +20 OK": Problem.STATUS_LINE,
    b"HTTP/1.1 2\xb20 OK": Problem.STATUS_LINE,
    b"HTTP/1.1 200\tOK": Problem.STATUS_LINE,
    b"HTTP/1.1 200 O\x00K": Problem.STATUS_LINE,
    b"HTTP/1.1 200 O\rK": Problem.STATUS_LINE,
    b"HTTP/1.1 200 O\x7fK": Problem.STATUS_LINE,
    b"HTTP/1.1  200 OK": Problem.STATUS_LINE,
    b"HTTP/1.2 200 OK": Problem.STATUS_LINE,
    b"HTTP/2 200 OK": Problem.STATUS_LINE,
    b"HTTP/2.0 200 OK": Problem.STATUS_LINE,
    b" HTTP/1.1 200 OK": Problem.STATUS_LINE,
    b"http/1.1 200 OK": Problem.STATUS_LINE,
    b"HTT": Problem.STATUS_LINE,
    b"done": Problem.STATUS_LINE,
}
#: Lines of a head, and why none of them is one; None if one is.
HEADER_LINES = {
    b"A:": None,
    b"a: b": None,
    b"X-Odd-1_2!#$%&'*+.^`|~: b": None,
    b"A: b:c: d ": None,
    b"A:\tb\tc\t": None,
    b'A:"b, ; c\xe9\x80\xff': None,
    b"A: b\rc": Problem.HEADER_VALUE,
    b"A: b\r\r": Problem.HEADER_VALUE,
    b"A: \x00": Problem.HEADER_VALUE,
    b"A:\x01b": Problem.HEADER_VALUE,
    b"A: b\x7f": Problem.HEADER_VALUE,
    b" A: b": Problem.HEADER_NAME,
    b"\tA: b": Problem.HEADER_NAME,
    b"A : b": Problem.HEADER_NAME,
    b"A\t: b": Problem.HEADER_NAME,
    b"A b: c": Problem.HEADER_NAME,
    b": b": Problem.HEADER_NAME,
    b"A": Problem.HEADER_NAME,
    b" ": Problem.HEADER_NAME,
    b"A\xc3\xa4: b": Problem.HEADER_NAME,
}
#: All but the one that ends a line.
BYTES = {*range(256)} - {ord("\n")}
#: Lines that frame a body, and whether all recipients see the same end.
FRAMINGS = {
    (b"Content-Length: 0",): True,
    (b"content-length:\t0042\t ",): True,
    (b"Transfer-Encoding: chunked",): True,
    (b"transfer-encoding:CHUNKED ",): True,
    (b"Content-Length: 1", b"Content-Length: 2"): False,
    (b"Content-Length: 1", b"CONTENT-LENGTH: 1"): False,
    (b"Content-Length: 1, 1",): False,
    (b"Content-Length: +1",): False,
    (b"Content-Length: 1_0",): False,
    (b"Content-Length: \xb2",): False,
    (b"Content-Length: 1" + b"0" * 18,): False,
    (b"Content-Length:",): False,
    (b"Content-Length: chunked",): False,
    (b"Transfer-Encoding: 4",): False,
    (b"Transfer-Encoding: chunked", b"Content-Length: 1"): False,
    (b"Content-Length: 1", b"Transfer-Encoding: chunked"): False,
    (b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"): False,
    (b"Transfer-Encoding: gzip, chunked",): False,
    (b"Transfer-Encoding: gzip",): False,
    (b"Transfer-Encoding: identity",): False,
    (b"Transfer-Encoding:",): False,
}
TOKEN_BYTES = (
    b"!#$%&'*+-.^_`|~" + (string.digits + string.ascii_letters).encode()
)


def read(*parts: bytes) -> Problem | None:
    """Returns what is wrong with a head; None if it is complete and valid."""
    reader = _response_heads.HeadReader()
    try:
        for part in parts:
            assert reader.feed(part) == len(part)
    except _response_heads.MalformedHeadError as error:
        return error.problem
    assert reader.is_complete
    assert reader.content == b"".join(parts).lstrip(b"\r\n")
    return None


@pytest.mark.parametrize("ending", [b"\r\n", b"\n"])
@pytest.mark.parametrize(("line", "problem"), STATUS_LINES.items())
def test_status_line(
    line: bytes, problem: Problem | None, ending: bytes
) -> None:
    whole = line + ending + b"A: b" + ending + ending
    assert read(whole) is problem
    assert read(*(bytes([byte]) for byte in whole)) is problem


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early\r\n"])
@pytest.mark.parametrize("later", [b"", b"X: y\r\n"])
@pytest.mark.parametrize(("line", "problem"), HEADER_LINES.items())
def test_header_line(
    line: bytes, problem: Problem | None, later: bytes, interim: bytes
) -> None:
    start = interim or OK
    assert read(start + line + b"\r\n" + later + b"\r\n") is problem
    assert read(start + later + line + b"\n\r\n") is problem


# Guards against: parsers take some bytes for others, or leave them out.
@pytest.mark.parametrize(
    "line", [b"%cA: b", b"A%cB: c", b"A%c: b", b"Content-Type%c: 2"]
)
def test_bytes_of_a_name(line: bytes) -> None:
    # A colon ends the name.
    colon = b"" if line.startswith(b"%c") else b":"
    valid = {
        byte for byte in BYTES if read(OK + line % byte + b"\r\n\r\n") is None
    }
    assert valid == set(TOKEN_BYTES + colon)


@pytest.mark.parametrize("line", [b"A:%cb", b"A: b%cc", b"A: b%c"])
def test_bytes_of_a_value(line: bytes) -> None:
    valid = {
        byte for byte in BYTES if read(OK + line % byte + b" c\r\n\r\n") is None
    }
    assert valid == {ord("\t"), *range(0x20, 0x7F), *range(0x80, 0x100)}


@pytest.mark.parametrize(("lines", "is_valid"), FRAMINGS.items())
def test_framing(lines: tuple[bytes, ...], is_valid: bool) -> None:
    rest = b"\r\n".join([*lines, b"", b""])
    assert read(OK + rest) is (None if is_valid else Problem.FRAMING)
    assert read(b"HTTP/1.1 103 Early\r\n" + rest) is None


def test_statuses() -> None:
    valid = {
        status
        for status in range(1_000)
        if read(b"HTTP/1.1 %03d Odd\r\n\r\n" % status) is None
    }
    assert valid == {*range(100, 600)} - {101}


@pytest.mark.parametrize("status", [100, 102, 103, 199, 200, 204, 304, 599])
def test_head_tells_whether_another_one_follows(status: int) -> None:
    reader = _response_heads.HeadReader()
    reader.feed(b"HTTP/1.1 %d Odd\r\n\r\n" % status)
    assert reader.is_interim is (status < 200)


# Guards against: an answer was taken for one by how its bytes arrived.
@pytest.mark.parametrize("start", [b"", b"\r\n", b"\n\r\n"])
def test_head_ends_at_its_empty_line_however_it_arrives(start: bytes) -> None:
    head = start + OK + b"A: b\nC:d\r\n\r\n"
    rest = b"body\r\n\r\n"
    for cuts in itertools.combinations(range(1, len(head)), 2):
        reader = _response_heads.HeadReader()
        used = sum(
            reader.feed((head + rest)[begin:end])
            for begin, end in itertools.pairwise((0, *cuts, None))
            if not reader.is_complete
        )
        assert used == len(head)
        assert reader.size_bytes == len(head)
        assert reader.content == head[len(start) :]


# Guards against: a server that sends no line end was waited for.
@pytest.mark.parametrize("start", [b"d", b"HTTP/2", b"\r\nHTX", b"\x00"])
def test_bytes_that_start_no_status_line_are_rejected_at_once(
    start: bytes,
) -> None:
    assert read(start) is Problem.STATUS_LINE


def test_error_quotes_a_bounded_part_of_the_line() -> None:
    reader = _response_heads.HeadReader()
    with pytest.raises(_response_heads.MalformedHeadError) as caught:
        reader.feed(b"HTTP/1.1 000 " + b"x" * 10_000 + b"\r\n")
    assert len(caught.value.excerpt) == _response_heads.EXCERPT_BYTES
    assert caught.value.excerpt.startswith(b"HTTP/1.1 000 x")
