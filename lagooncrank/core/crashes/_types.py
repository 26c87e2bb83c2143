"""Evidence about crashes, as nodes pass it on to each other."""

import dataclasses

from lagooncrank import model


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """A run that broke off with its connection shortly after it had begun.

    The features of a run are what may have caused the crash: the parts of its
    prompt that other requests share, and the digest of the whole request.
    """

    server_id: model.BackendServerId
    #: Start time of the server's process; a process crashes once.
    born_ms: int
    features: tuple[str, ...]
    #: Events of the run before it broke off.
    events: int
    #: Time since the run broke off, when the record was passed on.
    age_ms: int = 0
    #: Time since a request was last refused because of the record, or since
    #: the run broke off.
    unused_ms: int = 0
    #: Start of the node that saw it; empty if unknown. Records of one node have
    #: exact times between them, on its clock.
    origin: str = ""
    #: When the run broke off, on the clock of that node.
    crashed_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SoundFeature:
    """A feature of a run that made progress."""

    feature: str
    #: Time since that run began.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceBatch:
    """Evidence that nodes pass on."""

    records: tuple[CrashRecord, ...] = ()
    sound: tuple[SoundFeature, ...] = ()


def aged(batch: EvidenceBatch, passed_ms: int) -> EvidenceBatch:
    """Returns evidence that was noted some time ago, with its present ages."""
    return EvidenceBatch(
        tuple(
            dataclasses.replace(
                record,
                age_ms=record.age_ms + passed_ms,
                unused_ms=record.unused_ms + passed_ms,
            )
            for record in batch.records
        ),
        tuple(
            dataclasses.replace(sound, age_ms=sound.age_ms + passed_ms)
            for sound in batch.sound
        ),
    )
