"""Columnar encoding of renewals.

Field names are sent once per message instead of once per renewal, which
reduces a renewal from 176 to about 20 bytes.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import hashlib

from lagooncrank import model
from lagooncrank.core.membership import _types

#: Length of a content digest in bytes.
DIGEST_BYTES = 8
_PERCENT = 100
_NO_LOAD = model.LoadReport()


def content_digest(announcement: model.Announcement) -> bytes:
    """Returns a digest of the content that a renewal omits.

    The content includes the server id and incarnation, so announcements of
    two backend servers, or of two incarnations of one, have distinct digests.
    """
    content = announcement.with_changes(sequence=0, load=_NO_LOAD)
    data = model.to_cbor(content)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def pack(renewals: Iterable[_types.Renewal]) -> _types.RenewalColumns:
    """Returns the renewals as columns; rounds fractions to whole percents.

    >>> renewal = _types.Renewal(b"12345678", 7, model.LoadReport(), 3)
    >>> list(unpack(pack([renewal]))) == [renewal]
    True
    """
    rows = tuple(renewals)
    return _types.RenewalColumns(
        content_digests=b"".join(r.content_digest for r in rows),
        sequences=tuple(r.sequence for r in rows),
        ages_ms=tuple(r.age_ms for r in rows),
        running=tuple(r.load.running for r in rows),
        queued=tuple(r.load.queued for r in rows),
        kv_used_percents=tuple(
            round(r.load.kv_used_fraction * _PERCENT) for r in rows
        ),
        tokens_per_s=tuple(round(r.load.tokens_per_s) for r in rows),
        load_ages_ms=tuple(r.load.age_ms for r in rows),
    )


def unpack(columns: _types.RenewalColumns) -> Iterator[_types.Renewal]:
    """Yields the renewals that were packed into columns.

    Raises:
        ValueError: The columns differ in length.
    """
    rows = zip(
        _split_digests(columns.content_digests),
        columns.sequences,
        columns.ages_ms,
        _load_reports(columns),
        strict=True,
    )
    for digest, sequence, age_ms, load in rows:
        yield _types.Renewal(digest, sequence, load, age_ms)


def _split_digests(digests: bytes) -> Iterator[bytes]:
    for start in range(0, len(digests), DIGEST_BYTES):
        yield digests[start : start + DIGEST_BYTES]


def _load_reports(columns: _types.RenewalColumns) -> Iterator[model.LoadReport]:
    rows = zip(
        columns.running,
        columns.queued,
        columns.kv_used_percents,
        columns.tokens_per_s,
        columns.load_ages_ms,
        strict=True,
    )
    for running, queued, kv_percent, tokens_per_s, age_ms in rows:
        yield model.LoadReport(
            running=running,
            queued=queued,
            kv_used_fraction=kv_percent / _PERCENT,
            tokens_per_s=float(tokens_per_s),
            age_ms=age_ms,
        )
