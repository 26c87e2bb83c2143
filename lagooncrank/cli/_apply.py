"""Applies declarations and waits until they are in force everywhere."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import json
from typing import Any
from typing import TypeVar

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import results
from lagooncrank.cli import _client
from lagooncrank.cli import _output

#: Time between two questions where a revision is in force.
POLL_INTERVAL_MS = 500
#: Wait that is reported for the first time.
LONG_WAIT_MS = 1_000
#: Time after which an unchanged wait is reported again.
PROGRESS_INTERVAL_MS = 5_000

#: Refusals that pass by themselves, such as during an election.
_PASSING = frozenset(
    {
        results.ResultCode.CONNECT_FAILED,
        results.ResultCode.NO_QUORUM,
        results.ResultCode.NOT_LEADER,
        results.ResultCode.PEER_SILENT,
        results.ResultCode.PROPOSAL_LOST,
        results.ResultCode.STOPPING,
    }
)
T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What `apply` sends; the same change is safe to send again."""

    change_id: str
    base_revision: int
    author: str
    declarations: model.Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """What an operator wants in force."""

    declarations: model.Declarations
    #: Revision that the declarations were edited from; None takes any.
    base_revision: int | None
    #: Name of the change; None has one made from base and content.
    change_id: str | None
    author: str

    def change_to(self, base_revision: int) -> Change:
        """Returns the change to send; the same at each call."""
        change_id = self.change_id or default_change_id(
            base_revision, self.declarations
        )
        return Change(change_id, base_revision, self.author, self.declarations)


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The accepted configuration; revision 0 before the first."""

    revision: int
    declarations: model.Declarations

    def declares(self, declarations: model.Declarations) -> bool:
        """Whether an accepted revision already says the same."""
        return self.revision > 0 and self.declarations == declarations


def default_change_id(
    base_revision: int, declarations: model.Declarations
) -> str:
    """Returns an id that names base and content, the same at each call."""
    content = json.dumps(model.to_builtins(declarations), sort_keys=True)
    text = f"{base_revision}\n{content}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


async def read_current(
    client: _client.OperatorClient, revision: int | None = None
) -> Current:
    """Returns the accepted configuration, or the given kept revision.

    Raises:
        LagooncrankError: No entry could answer, or it is not kept.
    """
    path = "/v1/config" if revision is None else f"/v1/config/{revision}"
    try:
        body = await client.get(path)
    except results.LagooncrankError as error:
        if error.refusal.code is results.ResultCode.NO_CONFIGURATION:
            return Current(0, model.Declarations())
        raise
    declarations = model.from_builtins(body["declarations"], model.Declarations)
    return Current(body["revision"], declarations)


async def send(client: _client.OperatorClient, change: Change) -> int:
    """Sends a change and returns the revision that it became.

    Raises:
        LagooncrankError: The change was refused or its answer was lost.
    """
    answer = await client.post("/v1/config", model.to_builtins(change))
    return int(answer["revision"])


class Applying:
    """One run of `apply`.

    Args:
        client: Client for any entry.
        wanted: What to put in force.
        wait_ms: How long to wait until it is in force everywhere; None does
            not wait.
        time: Clock of the process.
    """

    def __init__(
        self,
        client: _client.OperatorClient,
        wanted: Wanted,
        wait_ms: int | None,
        time: clock.Clock,
    ) -> None:
        self._client = client
        self._wanted = wanted
        self._wait_ms = wait_ms
        self._clock = time
        self._deadline_ms = time.now_ms() + (wait_ms or 0)

    async def run(self) -> dict[str, Any]:
        """Sends the change, waits if wanted, and returns what to show.

        Raises:
            LagooncrankError: The change was refused, its answer was lost, or
                it is not in force everywhere in time.
        """
        revision = await self._patiently(self._accept)
        if self._wait_ms is None:
            return {"revision": revision}
        in_force = await self._wait_in_force(revision)
        return {"revision": revision, "in_force": in_force}

    async def _accept(self) -> int:
        wanted = self._wanted
        base_revision = wanted.base_revision
        if base_revision is None:
            current = await read_current(self._client)
            base_revision = current.revision
            if not wanted.change_id and current.declares(wanted.declarations):
                _output.progress(f"revision {base_revision} declares this")
                return base_revision
        revision = await send(self._client, wanted.change_to(base_revision))
        _output.progress(f"accepted as revision {revision}")
        return revision

    async def _patiently(self, call: Callable[[], Awaitable[T]]) -> T:
        """Makes a call that is safe to repeat until an entry can answer."""
        told = False
        while True:
            try:
                return await call()
            except results.LagooncrankError as error:
                passing = error.refusal.code in _PASSING
                if not passing or self._clock.now_ms() >= self._deadline_ms:
                    raise
                if not told:
                    _output.progress(f"trying again: {error}")
                told = True
            await asyncio.sleep(POLL_INTERVAL_MS / clock.MS_PER_S)

    async def _wait_in_force(self, revision: int) -> list[str]:
        reporter = Reporter(revision, self._clock)
        path = f"/v1/config/in-force?revision={revision}"
        while True:
            answer = await self._patiently(lambda: self._client.get(path))
            if not answer["lagging"]:
                return list(answer["in_force"])
            reporter.report(answer)
            if self._clock.now_ms() >= self._deadline_ms:
                raise results.LagooncrankError(_not_yet(revision, answer))
            await asyncio.sleep(POLL_INTERVAL_MS / clock.MS_PER_S)


class Reporter:
    """Prints who lags once a wait is long, when that changes, now and then.

    Args:
        revision: The revision waited for.
        time: Clock of the process.
    """

    def __init__(self, revision: int, time: clock.Clock) -> None:
        self._revision = revision
        self._clock = time
        self._lagging: list[str] = []
        self._started_ms = time.now_ms()
        self._printed_ms = 0

    def report(self, answer: Any) -> None:
        """Takes an answer of `GET /v1/config/in-force`."""
        lagging = [lag["node_id"] for lag in answer["lagging"]]
        now_ms = self._clock.now_ms()
        if now_ms - self._started_ms < LONG_WAIT_MS:
            return
        due = now_ms - self._printed_ms >= PROGRESS_INTERVAL_MS
        if lagging == self._lagging and not due:
            return
        self._lagging = lagging
        self._printed_ms = now_ms
        total = len(lagging) + len(answer["in_force"])
        _output.progress(
            f"revision {self._revision} is in force at "
            f"{len(answer['in_force'])} of {total} nodes; waiting for "
            f"{describe_lagging(answer['lagging'])}"
        )


def describe_lagging(lagging: Any) -> str:
    """Returns which nodes lag, at which revision, heard how long ago.

    >>> describe_lagging(
    ...     [{"node_id": "n3", "revision": 7, "heard_ms_ago": 1200}]
    ... )
    'n3 (has revision 7, heard 1.2 s ago)'
    """
    parts = []
    for lag in lagging:
        age_ms = lag["heard_ms_ago"]
        if age_ms is None:
            parts.append(f"{lag['node_id']} (never heard)")
        else:
            parts.append(
                f"{lag['node_id']} (has revision {lag['revision']}, "
                f"heard {age_ms / clock.MS_PER_S:.1f} s ago)"
            )
    return ", ".join(parts)


def _not_yet(revision: int, answer: Any) -> results.Refusal:
    return results.Refusal(
        results.ResultCode.NOT_IN_FORCE_YET,
        f"revision {revision} was accepted and stays accepted, but is not in "
        f"force at {describe_lagging(answer['lagging'])}; check that they "
        "run and reach the others, then run the same command again",
        results.ExecutionStatus.RAN,
    )
