"""Records of older versions, which run beside this one during an upgrade.

Each file in `records` was written by the commit that it is named after.
"""

import json
import pathlib
from typing import Any

import pytest

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core import fleet
from lagooncrank.core import state

RECORDS = sorted((pathlib.Path(__file__).parent / "records").glob("*.json"))
MESSAGES: dict[str, Any] = {
    "FleetSummary": fleet.FleetSummary,
    "ForwardedProposal": consensus.ForwardedProposal,
    "NodeNotice": fleet.NodeNotice,
    "PollReply": consensus.PollReply,
    "PollRequest": consensus.PollRequest,
    "ServerReport": model.ServerReport,
}
#: Kinds of commands that all these versions know.
KNOWN_COMMANDS = {
    "noop",
    "apply_declarations",
    "reserve_call",
    "finish_call",
    "resolve_call",
    "note_entry",
    "put_replica",
    "mark_content",
    "lift_mark",
    "drain_instance",
    "end_drain",
    "put_document",
    "form_group",
    "move_group",
    "release_members",
}


@pytest.fixture(params=RECORDS, ids=lambda path: path.stem)
def records(request: pytest.FixtureRequest) -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads(request.param.read_text())
    return loaded


# Guards against: a node that was upgraded lost the document or the groups of
# the log that an older version had written, or could not read it.
def test_log_and_snapshot_of_an_older_version_give_one_state(
    records: dict[str, Any],
) -> None:
    commands = [
        state.decode_command(bytes.fromhex(c)) for c in records["commands"]
    ]
    machine = state.StateMachine()
    for index, command in enumerate(commands[:3], start=1):
        assert machine.apply(index, command).ok
    snapshot = bytes.fromhex(records["snapshot"])
    restored = state.StateMachine.from_snapshot(snapshot)
    assert machine.document == state.Document(7, b'{"version":7}')
    assert restored.document == machine.document
    assert restored.groups == machine.groups
    assert restored.groups["g1"].phase is model.GroupPhase.SERVING
    assert restored.last_epoch == machine.last_epoch == 1


def test_messages_of_an_older_version_are_read(
    records: dict[str, Any],
) -> None:
    assert set(records["messages"]) == set(MESSAGES)
    for kind, content in records["messages"].items():
        data = bytes.fromhex(content)
        assert isinstance(model.from_cbor(data, MESSAGES[kind]), MESSAGES[kind])


# Guards against: a node of an older version stops at a command, or a snapshot,
# of a kind that it does not know.
def test_no_kind_of_record_is_newer_than_the_versions_beside_this_one() -> None:
    assert set(state.COMMANDS.names()) == KNOWN_COMMANDS
    assert state.SNAPSHOT_VERSION == 1
