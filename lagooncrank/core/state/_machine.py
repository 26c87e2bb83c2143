"""The state machine: applies committed commands in log order."""

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

#: Layout of snapshots; raised when a field changes its meaning.
SNAPSHOT_VERSION = 1


class SnapshotVersionError(Exception):
    """A snapshot that another version of the system wrote."""

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__(
            f"snapshot version {version} is not {SNAPSHOT_VERSION}; "
            "start the version that wrote it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Everything that the state machine holds at one log index."""

    version: int
    applied_index: int
    configurations: tuple[_records.ConfigurationRecord, ...]
    calls: tuple[_records.CallRecord, ...]
    replicas: tuple[model.Replica, ...]
    last_fencing_number: int
    marks: tuple[_records.ContentCrashRecord, ...]
    drains: tuple[_records.Drain, ...] = ()
    entry_notes: tuple[_records.EntryIncarnation, ...] = ()
    older_changes: tuple[_records.ChangeRecord, ...] = ()
    document: _records.Document | None = None
    groups: tuple[model.Group, ...] = ()
    last_epoch: int = 0
    group_term: int = 0


class StateMachine:
    """Holds the replicated state; equal logs give equal states.

    >>> machine = StateMachine()
    >>> machine.apply(1, _commands.NoOp()).ok
    True
    >>> machine.applied_index
    1
    """

    def __init__(self) -> None:
        self._applied_index = 0
        self._configurations = _configuration.Configurations()
        self._ledger = _ledger.CallLedger()
        self._assignments = _assignments.Assignments()
        self._quarantine = _quarantine.Quarantine()
        self._drains = _drains.Drains()
        self._document: _records.Document | None = None
        self._groups = _groups.Groups()

    @classmethod
    def from_snapshot(cls, data: bytes) -> "StateMachine":
        """Builds a state machine from what `snapshot` returned.

        Raises:
            SnapshotVersionError: Another version wrote the snapshot.
        """
        machine = cls()
        machine.restore(data)
        return machine

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by what `snapshot` returned.

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
        """Every replica that is not yet forgotten."""
        return self._assignments.replicas

    @property
    def last_fencing_number(self) -> int:
        """Highest fencing number given to any replica."""
        return self._assignments.last_fencing_number

    @property
    def crash_records(self) -> dict[bytes, _records.ContentCrashRecord]:
        """Crash marks by content digest."""
        return self._quarantine.marks

    @property
    def drains(self) -> dict[model.InstanceId, _records.Drain]:
        """Instances that operators want free of work."""
        return self._drains.drains

    @property
    def document(self) -> _records.Document | None:
        """The operator's document of the highest version, if any."""
        return self._document

    @property
    def groups(self) -> dict[str, model.Group]:
        """Every group whose members are not free, by name."""
        return self._groups.groups

    def call(self, key: _commands.CallKey) -> _records.CallRecord | None:
        """Returns what the ledger holds of a call."""
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
                marks=tuple(self._quarantine.marks.values()),
                drains=tuple(self._drains.drains.values()),
                entry_notes=self._ledger.entry_notes(),
                document=self._document,
                groups=tuple(self._groups.groups.values()),
                last_epoch=self._groups.last_epoch,
                group_term=self._groups.term,
            )
        )

    def _restore(self, snapshot: StateSnapshot) -> None:
        self._applied_index = snapshot.applied_index
        self._configurations = _configuration.Configurations(
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
            snapshot.groups, snapshot.last_epoch, snapshot.group_term
        )

    @functools.singledispatchmethod
    def _apply(self, command: _commands.Command) -> _records.Outcome:
        raise TypeError(f"no rule applies {type(command).__name__}")

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
        return self._ledger.note_entry(command)

    @_apply.register
    def _(self, command: _commands.PutReplica) -> _records.Outcome:
        return self._assignments.put(command)

    @_apply.register
    def _(self, command: _commands.RecordContentCrash) -> _records.Outcome:
        return self._quarantine.mark(command)

    @_apply.register
    def _(self, command: _commands.ClearContentCrashes) -> _records.Outcome:
        return self._quarantine.lift(command)

    @_apply.register
    def _(self, command: _commands.DrainInstance) -> _records.Outcome:
        return self._drains.drain(command)

    @_apply.register
    def _(self, command: _commands.EndDrain) -> _records.Outcome:
        return self._drains.end(command)

    @_apply.register
    def _(self, command: _commands.PutDocument) -> _records.Outcome:
        held = self._document
        if held is None or command.version > held.version:
            held = _records.Document(command.version, command.document)
            self._document = held
        return _records.Outcome(results.ResultCode.OK, revision=held.version)

    @_apply.register
    def _(self, command: _commands.FormGroup) -> _records.Outcome:
        return self._groups.form(command)

    @_apply.register
    def _(self, command: _commands.SetGroupPhase) -> _records.Outcome:
        return self._groups.move(command)

    @_apply.register
    def _(self, command: _commands.ReleaseMembers) -> _records.Outcome:
        return self._groups.release(command)
