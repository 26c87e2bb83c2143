"""Check that a paused entry gives up no server that goes on all the while."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Final

from lagooncrank import decisions
from soak import _charges

#: Requests that a violation names.
MAX_NAMED: Final = 10


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUpRun:
    """A run that an entry took for silent, so that it asked another server."""

    attempt_id: str
    #: Wall clock of the entry.
    at_ms: int
    #: What it took for silence, as its log says.
    given_up_for: str


def read_given_up(log_files: Iterable[pathlib.Path]) -> list[GivenUpRun]:
    """Returns the streams that entries gave up, from decision logs."""
    event = decisions.Event.RESUMED.value
    runs = []
    for log_file in log_files:
        for line in log_file.read_bytes().splitlines():
            if event.encode() not in line:
                continue
            fields = _charges.decode_line(line)
            # A stream that broke off was not given up.
            if fields.get("event") == event and fields.get("given_up_for"):
                runs.append(
                    GivenUpRun(
                        fields["request"],
                        fields["wall_ms"],
                        fields["given_up_for"],
                    )
                )
    return runs


def violations(
    runs: Iterable[GivenUpRun], counts: Callable[[GivenUpRun], bool]
) -> Iterator[str]:
    """Yields if any run was given up, as all servers were sound.

    Args:
        runs: Runs that entries gave up.
        counts: Whether the servers went on before a run was given up.
    """
    counted = [r for r in runs if counts(r)]
    if counted:
        named = "; ".join(
            f"{r.attempt_id} ({r.given_up_for})" for r in counted[:MAX_NAMED]
        )
        yield (
            f"SOUND: paused entries gave up {len(counted)} streams of servers "
            f"that went on: {named}"
        )
