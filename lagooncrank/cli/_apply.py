"""Applies declarations and waits until they are in force at every node."""

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

#: Interval between requests for the rollout status, and between retries.
POLL_INTERVAL_MS = 500
#: Time after which a wait is first reported.
LONG_WAIT_MS = 1_000
#: Interval between reports while the lagging nodes stay the same.
PROGRESS_INTERVAL_MS = 5_000

#: Refusals that clear without an operator, such as those of an election.
_TRANSIENT_REFUSALS = frozenset(
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
    """Request body of `apply`; sending the same change again is safe."""

    change_id: str
    base_revision: int
    author: str
    declarations: model.Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedChange:
    """A change that an operator requests, before its base is known."""

    declarations: model.Declarations
    #: Revision that the declarations were edited from; None means the
    #: current one.
    base_revision: int | None
    #: Identifier of the change; None derives one from the base revision and
    #: the declarations.
    change_id: str | None
    author: str

    def build_change(self, base_revision: int) -> Change:
        """Returns the change to send, equal for equal base revisions."""
        change_id = self.change_id or default_change_id(
            base_revision, self.declarations
        )
        return Change(change_id, base_revision, self.author, self.declarations)


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """An accepted configuration, or revision 0 if none was accepted yet."""

    revision: int
    declarations: model.Declarations

    def declares(self, declarations: model.Declarations) -> bool:
        """Returns whether an accepted revision has equal declarations."""
        return self.revision > 0 and self.declarations == declarations


def default_change_id(
    base_revision: int, declarations: model.Declarations
) -> str:
    """Returns an id that depends only on base revision and declarations."""
    content = json.dumps(model.to_builtins(declarations), sort_keys=True)
    text = f"{base_revision}\n{content}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


async def read_current(
    client: _client.OperatorClient, revision: int | None = None
) -> CurrentConfiguration:
    """Returns the current configuration, or that of a retained revision.

    Raises:
        LagooncrankError: No entry could answer, or the revision is not
            retained.
    """
    path = "/v1/config" if revision is None else f"/v1/config/{revision}"
    try:
        body = await client.get(path)
    except results.LagooncrankError as error:
        if error.refusal.code is results.ResultCode.NO_CONFIGURATION:
            return CurrentConfiguration(0, model.Declarations())
        raise
    declarations = model.from_builtins(body["declarations"], model.Declarations)
    return CurrentConfiguration(body["revision"], declarations)


async def send_change(client: _client.OperatorClient, change: Change) -> int:
    """Sends a change and returns the revision that it created.

    Raises:
        LagooncrankError: The change was refused, or the response was lost.
    """
    response = await client.post("/v1/config", model.to_builtins(change))
    return int(response["revision"])


class ApplyRun:
    """One run of the `apply` command.

    Args:
        client: Client of the entries.
        requested: The change to submit.
        wait_ms: Longest wait until the change is in force at every node; None
            returns as soon as it is accepted.
        time: Clock of the process.
    """

    def __init__(
        self,
        client: _client.OperatorClient,
        requested: RequestedChange,
        wait_ms: int | None,
        time: clock.Clock,
    ) -> None:
        self._client = client
        self._requested = requested
        self._wait_ms = wait_ms
        self._clock = time
        self._deadline_ms = time.now_ms() + (wait_ms or 0)

    async def run(self) -> dict[str, Any]:
        """Submits the change, waits if requested, and returns the result.

        Raises:
            LagooncrankError: The change was refused, the response was lost,
                or the change is not in force at every node in time.
        """
        revision = await self._retry_until_available(self._submit)
        if self._wait_ms is None:
            return {"revision": revision}
        in_force = await self._wait_in_force(revision)
        return {"revision": revision, "in_force": in_force}

    async def _submit(self) -> int:
        requested = self._requested
        base_revision = requested.base_revision
        if base_revision is None:
            current = await read_current(self._client)
            base_revision = current.revision
            if not requested.change_id and current.declares(
                requested.declarations
            ):
                _output.print_message(
                    f"revision {base_revision} already declares this"
                )
                return base_revision
        revision = await send_change(
            self._client, requested.build_change(base_revision)
        )
        _output.print_message(f"accepted as revision {revision}")
        return revision

    async def _retry_until_available(
        self, call: Callable[[], Awaitable[T]]
    ) -> T:
        """Retries an idempotent call until an entry can answer it."""
        was_reported = False
        while True:
            try:
                return await call()
            except results.LagooncrankError as error:
                is_transient = error.refusal.code in _TRANSIENT_REFUSALS
                if (
                    not is_transient
                    or self._clock.now_ms() >= self._deadline_ms
                ):
                    raise
                if not was_reported:
                    _output.print_message(f"retrying: {error}")
                was_reported = True
            await asyncio.sleep(POLL_INTERVAL_MS / clock.MS_PER_S)

    async def _wait_in_force(self, revision: int) -> list[str]:
        reporter = ProgressReporter(revision, self._clock)
        path = f"/v1/config/in-force?revision={revision}"
        while True:
            response = await self._retry_until_available(
                lambda: self._client.get(path)
            )
            if not response["lagging"]:
                return list(response["in_force"])
            reporter.report(response)
            if self._clock.now_ms() >= self._deadline_ms:
                raise results.LagooncrankError(
                    _not_in_force_refusal(revision, response)
                )
            await asyncio.sleep(POLL_INTERVAL_MS / clock.MS_PER_S)


class ProgressReporter:
    """Prints which nodes delay a change that is slow to come into force.

    It prints when the set of lagging nodes changes, and at intervals.

    Args:
        revision: The revision that has to be in force.
        time: Clock of the process.
    """

    def __init__(self, revision: int, time: clock.Clock) -> None:
        self._revision = revision
        self._clock = time
        self._lagging: list[str] = []
        self._started_ms = time.now_ms()
        self._printed_ms = 0

    def report(self, response: Any) -> None:
        """Handles a response of `GET /v1/config/in-force`."""
        lagging = [node["node_id"] for node in response["lagging"]]
        now_ms = self._clock.now_ms()
        if now_ms - self._started_ms < LONG_WAIT_MS:
            return
        is_due = now_ms - self._printed_ms >= PROGRESS_INTERVAL_MS
        if lagging == self._lagging and not is_due:
            return
        self._lagging = lagging
        self._printed_ms = now_ms
        total = len(lagging) + len(response["in_force"])
        _output.print_message(
            f"revision {self._revision} is in force at "
            f"{len(response['in_force'])} of {total} nodes; waiting for "
            f"{describe_lagging(response['lagging'])}"
        )


def describe_lagging(lagging: Any) -> str:
    """Describes lagging nodes: revision and time since the last report.

    >>> describe_lagging(
    ...     [{"node_id": "n3", "revision": 7, "heard_ms_ago": 1200}]
    ... )
    'n3 (has revision 7, last seen 1.2 s ago)'
    """
    descriptions = []
    for node in lagging:
        age_ms = node["heard_ms_ago"]
        if age_ms is None:
            descriptions.append(f"{node['node_id']} (never seen)")
        else:
            descriptions.append(
                f"{node['node_id']} (has revision {node['revision']}, "
                f"last seen {age_ms / clock.MS_PER_S:.1f} s ago)"
            )
    return ", ".join(descriptions)


def _not_in_force_refusal(revision: int, response: Any) -> results.Refusal:
    return results.Refusal(
        results.ResultCode.NOT_IN_FORCE_YET,
        f"revision {revision} was accepted and stays accepted, but is not in "
        f"force at {describe_lagging(response['lagging'])}; check that these "
        "nodes run and can reach the others, then repeat the command",
        results.ExecutionStatus.RAN,
    )
