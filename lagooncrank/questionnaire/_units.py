"""Converts the units of answers to those of declarations."""

from lagooncrank import clock as clocks

MS_PER_H = 3_600_000
BYTES_PER_GIB = 2**30


def s_to_ms(duration_s: float) -> int:
    """Converts seconds to whole milliseconds.

    >>> s_to_ms(1.3)
    1300
    """
    return round(duration_s * clocks.MS_PER_S)


def gib_to_bytes(size_gib: float) -> int:
    """Converts GiB to whole bytes."""
    return round(size_gib * BYTES_PER_GIB)
