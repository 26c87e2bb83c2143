"""Answers whose head is none, for servers that write their bytes."""

from typing import Final

#: Stands in each answer; nobody gets anything of it.
MARK: Final = b"oddity"
_LENGTH: Final = b"Content-Length: %d\r\n" % len(MARK)

#: Answers by what is wrong with their head.
ANSWERS: Final = {
    "000": b"HTTP/1.1 000 Odd\r\n" + _LENGTH + b"\r\n" + MARK,
    "042": b"HTTP/1.1 042 Odd\r\n" + _LENGTH + b"\r\n" + MARK,
    "101": b"HTTP/1.1 101 Odd\r\n" + _LENGTH + b"\r\n" + MARK,
    "999": b"HTTP/1.1 999 Odd\r\n" + _LENGTH + b"\r\n" + MARK,
    "http-2": b"HTTP/2.0 200 OK\r\n" + _LENGTH + b"\r\n" + MARK,
    "blank-in-a-name": b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n" + MARK,
    "blank-first": b"HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\n" + MARK,
    "folded": b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n" + _LENGTH + b"\r\n" + MARK,
    "control-in-a-name": b"HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n" + MARK,
    "control-in-a-value": b"HTTP/1.1 200 OK\r\nA: \x01\r\n"
    + _LENGTH
    + b"\r\n"
    + MARK,
    "coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + MARK,
    "interim": b"HTTP/1.1 103 E\r\n A: b\r\n\r\nHTTP/1.1 200 OK\r\n"
    + _LENGTH
    + b"\r\n"
    + MARK,
}
