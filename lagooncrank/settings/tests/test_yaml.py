import pathlib
import re

import pytest

from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings

DIGEST = "0" * 64

#: YAML text and the expected message, by case.
INVALID_DECLARATIONS = {
    "broken": ("a: [", "line 2: is not valid YAML: "),
    "tab_indent": (
        "leases:\n\tannouncement_ms: 1",
        "line 2: is not valid YAML: ",
    ),
    "control_character": ("a: \x00", "is not valid YAML: "),
    "empty": ("# nothing\n", "is empty"),
    "list": ("[1]", "line 1: must be a mapping with model_services"),
    "scalar": ("hello", "line 1: must be a mapping with model_services"),
    "second_document": ("{}\n---\n{}", "line 2: contains a second document"),
    "alias": (
        "a: &x [1]\nb: *x",
        "line 2: uses the alias *x; repeat the value instead",
    ),
    "merge_key": ("a: &x {b: 1}\nc: {<<: *x}", "line 2: uses the alias *x"),
    "python_tag": (
        "a: !!python/object/apply:os.system [ls]",
        "line 1: uses the tag 'tag:yaml.org,2002:python/object/apply:os.system'"
        "; tags are not allowed",
    ),
    "local_tag": ("a: !secret x", "line 1: uses the tag '!secret'"),
    "duplicate_key": (
        "leases: {}\nleases: {}",
        "line 2: has the key 'leases' twice; remove one",
    ),
    "list_as_key": ("? [1]\n: 2", "line 1: has a key that is not a scalar"),
    "deep": ("[" * 17 + "]" * 17, "line 1: is nested more than 16 levels deep"),
    "very_deep": ("[" * 100_000, "line 1: is not valid YAML: exceeded maximum"),
    "many_items": (
        "[" + "1," * 400_000 + "]",
        "line 1: contains more than 400000 items",
    ),
    "large": ("#" * 4_194_305, "is 4194305 bytes, must be at most 4194304"),
    "very_long_integer": (
        f"leases: {{announcement_ms: {'9' * 5_000}}}",
        "line 1: has an invalid value: ",
    ),
    "integer_above_limit": (
        "leases: {configuration_ms: 9007199254740992}",
        "line 1: leases.configuration_ms: is 9007199254740992, must be at "
        "most 9007199254740991",
    ),
    "impossible_date": (
        "model_services: [{version: 2026-13-45}]",
        "line 1: has an invalid value: ",
    ),
    "date_as_version": (
        "model_services:\n- name: m\n  version: 2026-01-02\n"
        "  replicas: 1\n  replicas_floor: 1\n  instances_per_replica: 1",
        "line 3: model_services[0].version: must be text, is "
        "datetime.date(2026, 1, 2); quote it to make",
    ),
    "bool_as_name": (
        "plain_services:\n- name: no\n  repeatable: true",
        "line 2: plain_services[0].name: must be text, is False; quote it",
    ),
    "text_as_number": (
        "leases:\n  announcement_ms: soon",
        "line 2: leases.announcement_ms: must be a whole number, is 'soon'",
    ),
    "bool_as_number": (
        "leases: {announcement_ms: true}",
        "line 1: leases.announcement_ms: must be a whole number, is True",
    ),
    "fraction_as_count": (
        "retries: {max_attempts: 1.5}",
        "line 1: retries.max_attempts: must be a whole number, is 1.5",
    ),
    "null_as_number": (
        "retries: {max_attempts: }",
        "line 1: retries.max_attempts: must be a whole number, is None",
    ),
    "number_as_bool": (
        "plain_services: [{name: a, repeatable: 1}]",
        "line 1: plain_services[0].repeatable: must be true or false, is 1",
    ),
    "mapping_as_list": (
        "client_accounts: {a: 1}",
        "line 1: client_accounts: must be a list, is {'a': 1}",
    ),
    "list_as_mapping": (
        "placement: [1]",
        "line 1: placement: must be a mapping with group_downtime_weight",
    ),
    "scalar_as_list": (
        "client_accounts: [{name: a, key_sha256s: x, share: 1}]",
        "line 1: client_accounts[0].key_sha256s: must be a list, is 'x'",
    ),
    "unknown_field": (
        "leases:\n  anouncement_ms: 5",
        "line 2: leases.anouncement_ms: is not a known field; did you mean "
        "'announcement_ms'? Allowed: announcement_ms, configuration_ms, "
        "entries_keep_for_ms",
    ),
    "missing_field": (
        "client_accounts:\n- name: a\n  share: 1",
        "line 2: client_accounts[0]: lacks the required field 'key_sha256s'",
    ),
    "nan": (
        "placement: {group_downtime_weight: .nan}",
        "line 1: placement.group_downtime_weight: is nan, must be",
    ),
    "infinite": (
        "placement: {group_downtime_weight: .inf}",
        "line 1: placement.group_downtime_weight: is inf, must be at most",
    ),
    "zero_share": (
        "client_accounts:\n- name: a\n  key_sha256s: []\n  share: 0",
        "line 4: client_accounts[0].share: is 0, must be above 0",
    ),
    "negative_spares": (
        "placement: {spare_instances: -1}",
        "line 1: placement.spare_instances: is -1, must be 0 or more",
    ),
    "key_instead_of_digest": (
        "client_accounts: [{name: a, key_sha256s: [secret], share: 1}]",
        "line 1: client_accounts[0].key_sha256s[0]: must be 64 lower-case "
        "hexadecimal digits: the SHA-256 of the key, never the key itself",
    ),
    "key_of_two_accounts": (
        f"client_accounts:\n- {{name: a, key_sha256s: ['{DIGEST}'], share: 1}}"
        f"\n- {{name: b, key_sha256s: ['{DIGEST}'], share: 1}}",
        "line 3: client_accounts[1].key_sha256s[0]: is already a key of a",
    ),
    "duplicate_name": (
        "plain_services:\n- {name: a, repeatable: true}\n"
        "- {name: a, repeatable: true}",
        "line 3: plain_services[1].name: 'a' is already the name of "
        "plain_services[0]",
    ),
    "name_with_slash": (
        "plain_services: [{name: a/b, repeatable: true}]",
        "line 1: plain_services[0].name: 'a/b' is not allowed: use 1 to 63",
    ),
    "undeclared_service": (
        "plain_services: [{name: s, repeatable: true}]\nclient_accounts:\n"
        "- {name: a, key_sha256s: [], share: 1, services: [t]}",
        "line 3: client_accounts[0].services[0]: 't' is not declared; use "
        "one of s",
    ),
    "floor_above_replicas": (
        "model_services: [{name: m, version: v, replicas: 1, "
        "replicas_floor: 2, instances_per_replica: 1}]",
        "line 1: model_services[0].replicas_floor: is 2, above replicas (1)",
    ),
    "lookup_without_key": (
        "plain_services: [{name: s, repeatable: false, "
        "outcome_lookup_path: /x}]",
        "line 1: plain_services[0].outcome_lookup_path: is '/x'; it must",
    ),
    "lease_above_limit": (
        "leases: {announcement_ms: 3001}",
        "line 1: leases.announcement_ms: is 3001, must be at most 3000",
    ),
}

NODE = (
    "{node_id: n1, peer_address: '127.0.0.1:1', entry_address: "
    "'127.0.0.1:2', failure_domain_id: a, roles: [entry, control]}"
)
INVALID_PROCESS_SETTINGS = {
    "unknown_role": (
        f"nodes: [{NODE.replace('control', 'leader')}]",
        "line 1: nodes[0].roles[1]: must be one of entry, control, is",
    ),
    "host_name_as_address": (
        f"nodes: [{NODE.replace('127.0.0.1:1', 'localhost:1')}]",
        "line 1: nodes[0].peer_address: is 'localhost:1', must be an IP "
        "address and a port",
    ),
    "duplicate_address": (
        f"nodes: [{NODE.replace('127.0.0.1:1', '127.0.0.1:2')}]",
        "line 1: nodes[0].entry_address: '127.0.0.1:2' is already used in "
        "nodes[0].peer_address",
    ),
    "even_voters": (
        f"nodes:\n- {NODE}\n- {NODE.replace('1:', '2:')}",
        "line 1: nodes: 2 nodes have the role control; allowed: 1, 3, 5, 7",
    ),
    "node_not_listed": (
        f"nodes: [{NODE}]\nnode_id: n9",
        "line 2: node_id: 'n9' is not one of nodes: n1",
    ),
    "no_data_folder": (
        f"nodes: [{NODE}]\ndata_folder: ''",
        "line 2: data_folder: is empty, but this node has the role control",
    ),
    "zero_limit": (
        f"nodes: [{NODE}]\nlimits:\n  request_bytes: 0",
        "line 3: limits.request_bytes: is 0, must be above 0",
    ),
    "unknown_policy": (
        f"nodes: [{NODE}]\npolicies:\n  router: nearest",
        "line 3: policies.router: is 'nearest'; allowed: balanced, round_robin",
    ),
    "unknown_log_level": (
        f"nodes: [{NODE}]\nlog_level: LOUD",
        "line 2: log_level: is 'LOUD'; allowed: DEBUG, INFO",
    ),
}


@pytest.mark.parametrize(
    ("text", "message"),
    INVALID_DECLARATIONS.values(),
    ids=INVALID_DECLARATIONS.keys(),
)
def test_error_message_for_invalid_declarations(
    text: str, message: str
) -> None:
    with pytest.raises(settings.SettingsError) as raised:
        settings.parse_declarations(text, "d.yaml")
    assert f"d.yaml: {message}" in raised.value.refusal.reason
    assert len(raised.value.refusal.reason) < 2_000


@pytest.mark.parametrize(
    ("text", "message"),
    INVALID_PROCESS_SETTINGS.values(),
    ids=INVALID_PROCESS_SETTINGS.keys(),
)
def test_error_message_for_invalid_process_settings(
    text: str, message: str
) -> None:
    required = {
        "node_id": "n1",
        "data_folder": "data",
        "shared_key_file": "key",
    }
    lines = [text]
    lines += [
        f"{name}: {value}"
        for name, value in required.items()
        if not re.search(f"^{name}:", text, re.MULTILINE)
    ]
    with pytest.raises(settings.SettingsError) as raised:
        settings.parse_process_settings("\n".join(lines), "s.yaml")
    assert f"s.yaml: {message}" in raised.value.refusal.reason


def test_all_problems_are_reported_together() -> None:
    text = "leases: {announcement_ms: x, lease: 1}\nretries: 3"
    with pytest.raises(settings.SettingsError) as raised:
        settings.parse_declarations(text, "d.yaml")
    fields = [problem.field for problem in raised.value.problems]
    assert fields == ["leases.lease", "leases.announcement_ms", "retries"]


def test_unreadable_file_error_has_cause(tmp_path: pathlib.Path) -> None:
    latin1 = tmp_path / "latin.yaml"
    latin1.write_bytes(b"a: \xe9")
    oversized = tmp_path / "large.yaml"
    oversized.write_bytes(b"#" * 5_000_000)
    causes = {
        tmp_path / "absent.yaml": "cannot be read: No such file",
        tmp_path: "cannot be read: Is a directory",
        latin1: "is not valid UTF-8 at byte 3",
        oversized: "is larger than 4194304 bytes",
    }
    for path, cause in causes.items():
        with pytest.raises(settings.SettingsError, match=cause):
            settings.load_declarations(path)


def test_valid_declarations() -> None:
    declarations = settings.parse_declarations(
        "client_accounts: [{name: a, key_sha256s: [], share: 3}]", "d.yaml"
    )
    assert declarations.client_accounts[0].share == 3


def test_defaults_of_minimal_seeded_settings() -> None:
    """The settings file of the soak test has no `retry` section."""
    text = """
role: entry
ip: 10.0.0.1
failure_domain_id: a
peer_port: 7000
seeds: [10.0.0.2:1]
shared_key: key
"""
    code = results.ResultCode.INVALID_SETTINGS
    loaded = settings.parse(text, settings.SeededSettings, "own.yaml", code)
    assert loaded.retry == model.RetryBudgetRules()
