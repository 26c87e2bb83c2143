"""Checks generated files as the nodes of a system read them."""

from lagooncrank import model
from lagooncrank import questionnaire
from lagooncrank import settings
from lagooncrank.core import membership
from lagooncrank.core import state

NODE = model.NodeId("n1")


def check_accepted(configuration: questionnaire.Configuration) -> None:
    """Checks that every component of a daemon accepts the files."""
    text = configuration.declarations.text
    declarations = settings.parse_declarations(text, "declarations.yaml")
    command = state.ApplyDeclarations("c", 0, declarations, "author", 0)
    decoded = state.decode_command(state.encode_command(command))
    machine = state.StateMachine()
    assert machine.apply(1, decoded).ok
    restored = state.StateMachine.from_snapshot(machine.snapshot())
    assert restored.configuration is not None
    assert restored.configuration.declarations == declarations
    membership.MembershipTable(NODE, 1, declarations.leases)
    nodes = set()
    for file in configuration.settings:
        process = settings.parse_process_settings(file.text, file.name)
        assert process.own_node.is_initial_voter == bool(process.data_folder)
        nodes.add(process.nodes)
    assert len(nodes) == 1
    for line in [t for f in configuration.files for t in f.text.splitlines()]:
        assert line == line.rstrip()
