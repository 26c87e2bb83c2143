"""State machine that applies committed commands in log order."""

import dataclasses
import functools

from lagooncrank import model
from lagooncrank import results
from lagooncrank.core.state import _assignments
from lagooncrank.core.state import _commands
from lagooncrank.core.state import _configuration
from lagooncrank.core.state import _drains
from lagooncrank.core.state import _groups
from lagooncrank.core.state import _ledger
from lagooncrank.core.state import _quarantine
from lagooncrank.core.state import _records

#: Version of the snapshot layout; raised when a field changes its meaning.
SNAPSHOT_VERSION = 1


class SnapshotVersionError(Exception):
    """A snapshot was written by another version of the system."""

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__(
            f"snapshot version {version} is unsupported, expected "
            f"{SNAPSHOT_VERSION}; start the version that wrote it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Serialized content of the state machine at one log index."""

    version: int
    applied_index: int
    configurations: tuple[_records.ConfigurationRecord, ...]
    calls: tuple[_records.CallRecord, ...]
    replicas: tuple[model.Replica, ...]
    last_fencing_number: int
    #: Crashes counted against request contents.
    marks: tuple[_records.ContentCrashRecord, ...]
    drains: tuple[_records.Drain, ...] = ()
    #: Newest known incarnation and clock reading of each entry.
    entry_notes: tuple[_records.EntryIncarnation, ...] = ()
    older_changes: tuple[_records.ChangeRecord, ...] = ()
    document: _records.Document | None = None
    groups: tuple[model.Group, ...] = ()
    last_epoch: int = 0
    group_term: int = 0
    reported_members: tuple[model.GroupMember, ...] = ()


class StateMachine:
    """Replicated state; equal logs produce equal states.

    >>> machine = StateMachine()
    >>> machine.apply(1, _commands.NoOp()).ok
    True
    >>> machine.applied_index
    1
    """

    def __init__(self) -> None:
        self._applied_index = 0
        self._configurations = _configuration.ConfigurationHistory()
        self._ledger = _ledger.CallLedger()
        self._assignments = _assignments.Assignments()
        self._quarantine = _quarantine.Quarantine()
        self._drains = _drains.Drains()
        self._document: _records.Document | None = None
        self._groups = _groups.Groups()

    @classmethod
    def from_snapshot(cls, data: bytes) -> "StateMachine":
        """Builds a state machine from the result of `snapshot`.

        Raises:
            SnapshotVersionError: Another version wrote the snapshot.
        """
        machine = cls()
        machine.restore(data)
        return machine

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with the result of `snapshot`.

        Raises:
            SnapshotVersionError: Another version wrote the snapshot.
        """
        snapshot = model.from_cbor(data, StateSnapshot)
        if snapshot.version != SNAPSHOT_VERSION:
            raise SnapshotVersionError(snapshot.version)
        self._restore(snapshot)

    @property
    def applied_index(self) -> int:
        """Index of the last applied log entry."""
        return self._applied_index

    @property
    def configuration(self) -> _records.ConfigurationRecord | None:
        """The revision in force, or None before the first."""
        return self._configurations.current

    @property
    def replicas(self) -> dict[model.ReplicaId, model.Replica]:
        """Every replica that is kept, including recently ended ones."""
        return self._assignments.replicas

    @property
    def last_fencing_number(self) -> int:
        """Highest fencing number assigned to any replica."""
        return self._assignments.last_fencing_number

    @property
    def crash_records(self) -> dict[bytes, _records.ContentCrashRecord]:
        """Crashes counted against request contents, by content digest."""
        return self._quarantine.crash_records

    @property
    def drains(self) -> dict[model.InstanceId, _records.Drain]:
        """Instances that operators drain."""
        return self._drains.drains

    @property
    def document(self) -> _records.Document | None:
        """The operator's document with the highest version, if any."""
        return self._document

    @property
    def groups(self) -> dict[str, model.Group]:
        """Every group that holds members, by name."""
        return self._groups.groups

    @property
    def last_epoch(self) -> int:
        """Epoch of the newest group, also if removed; 0 if there was none."""
        return self._groups.last_epoch

    def call(self, key: _commands.CallKey) -> _records.CallRecord | None:
        """Returns the ledger's record of a call, or None."""
        return self._ledger.find(key)

    def history(self) -> tuple[_records.ConfigurationRecord, ...]:
        """Returns the kept revisions, oldest first."""
        return self._configurations.history()

    def apply(self, index: int, command: _commands.Command) -> _records.Outcome:
        """Applies the command at `index` of the log.

        Raises:
            ValueError: `index` does not follow the last applied index.
        """
        if index != self._applied_index + 1:
            raise ValueError(
                f"index {index} does not follow {self._applied_index}"
            )
        self._applied_index = index
        return self._apply(command)

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes."""
        return model.to_cbor(
            StateSnapshot(
                version=SNAPSHOT_VERSION,
                applied_index=self._applied_index,
                configurations=self._configurations.history(),
                older_changes=self._configurations.older_changes(),
                calls=self._ledger.records(),
                replicas=tuple(self._assignments.replicas.values()),
                last_fencing_number=self._assignments.last_fencing_number,
                marks=tuple(self._quarantine.crash_records.values()),
                drains=tuple(self._drains.drains.values()),
                entry_notes=self._ledger.entry_incarnations(),
                document=self._document,
                groups=tuple(self._groups.groups.values()),
                last_epoch=self._groups.last_epoch,
                group_term=self._groups.term,
                reported_members=self._groups.reported,
            )
        )

    def _restore(self, snapshot: StateSnapshot) -> None:
        self._applied_index = snapshot.applied_index
        self._configurations = _configuration.ConfigurationHistory(
            snapshot.configurations, snapshot.older_changes
        )
        self._ledger = _ledger.CallLedger(snapshot.calls, snapshot.entry_notes)
        self._assignments = _assignments.Assignments(
            snapshot.replicas, snapshot.last_fencing_number
        )
        self._quarantine = _quarantine.Quarantine(snapshot.marks)
        self._drains = _drains.Drains(snapshot.drains)
        self._document = snapshot.document
        self._groups = _groups.Groups(
            snapshot.groups,
            snapshot.last_epoch,
            snapshot.group_term,
            snapshot.reported_members,
        )

    @functools.singledispatchmethod
    def _apply(self, command: _commands.Command) -> _records.Outcome:
        raise TypeError(f"no handler for command {type(command).__name__}")

    @_apply.register
    def _(self, command: _commands.NoOp) -> _records.Outcome:
        return _records.Outcome(results.ResultCode.OK)

    @_apply.register
    def _(self, command: _commands.ApplyDeclarations) -> _records.Outcome:
        return self._configurations.apply(command)

    @_apply.register
    def _(self, command: _commands.ReserveCall) -> _records.Outcome:
        return self._ledger.reserve(command)

    @_apply.register
    def _(self, command: _commands.FinishCall) -> _records.Outcome:
        return self._ledger.finish(command)

    @_apply.register
    def _(self, command: _commands.ResolveCall) -> _records.Outcome:
        return self._ledger.resolve(command)

    @_apply.register
    def _(self, command: _commands.RecordEntryIncarnation) -> _records.Outcome:
        return self._ledger.record_entry_incarnation(command)

    @_apply.register
    def _(self, command: _commands.PutReplica) -> _records.Outcome:
        return self._assignments.put(command)

    @_apply.register
    def _(self, command: _commands.RecordContentCrash) -> _records.Outcome:
        return self._quarantine.record_crash(command)

    @_apply.register
    def _(self, command: _commands.ClearContentCrashes) -> _records.Outcome:
        return self._quarantine.clear(command)

    @_apply.register
    def _(self, command: _commands.DrainInstance) -> _records.Outcome:
        return self._drains.drain(command)

    @_apply.register
    def _(self, command: _commands.EndDrain) -> _records.Outcome:
        return self._drains.end(command)

    @_apply.register
    def _(self, command: _commands.PutDocument) -> _records.Outcome:
        current = self._document
        if current is None or command.version > current.version:
            current = _records.Document(command.version, command.document)
            self._document = current
        return _records.Outcome(results.ResultCode.OK, revision=current.version)

    @_apply.register
    def _(self, command: _commands.FormGroup) -> _records.Outcome:
        return self._groups.form(command)

    @_apply.register
    def _(self, command: _commands.SetGroupPhase) -> _records.Outcome:
        return self._groups.set_phase(command)

    @_apply.register
    def _(self, command: _commands.ReleaseMembers) -> _records.Outcome:
        return self._groups.release_members(command)
