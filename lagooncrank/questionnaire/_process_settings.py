"""Process settings of the entry instances."""

from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _commented_yaml
from lagooncrank.questionnaire import _units
from lagooncrank.questionnaire import _voters

#: Upper estimate of the bytes of one token of a prompt.
BYTES_PER_TOKEN = 8
#: Lower bound of the limit on a request body.
MIN_REQUEST_BYTES = 1_048_576

_Value = _commented_yaml.CommentedValue


def settings_section(
    answers: _answers.Answers,
    instance: _answers.EntryInstanceAnswers,
    voters: _voters.VoterChoice,
) -> _commented_yaml.Section:
    """Returns the process settings of one entry instance."""
    if instance.name in voters.names:
        folder_reason = "this instance votes and keeps its log there"
        folder = instance.data_folder
    else:
        folder_reason = "this instance does not vote and keeps nothing on disk"
        folder = ""
    return _commented_yaml.Section(
        {
            "node_id": _Value(instance.name, "the name of this instance"),
            "shared_key_file": _Value(
                answers.shared_key_file, "key that all instances share"
            ),
            "operator_key_sha256s": _Value(
                list(answers.operator_key_sha256s),
                "digests of the operators' keys",
            ),
            "data_folder": _Value(folder, folder_reason),
            "stop_deadline_ms": _Value(*_stop_deadline(answers)),
            "limits": _commented_yaml.Section(
                {"request_bytes": _Value(*_request_limit(answers))}
            ),
            "nodes": _commented_yaml.SectionList(
                tuple(
                    _node_section(node, voters)
                    for node in answers.entry_instances
                )
            ),
        }
    )


def _node_section(
    instance: _answers.EntryInstanceAnswers, voters: _voters.VoterChoice
) -> _commented_yaml.Section:
    if instance.name in voters.names:
        roles = ["entry", "control"]
        reason = f"one of {voters.reason}"
    elif instance.data_folder:
        roles = ["entry"]
        reason = f"has a disk, but there are enough voters: {voters.reason}"
    else:
        roles = ["entry"]
        reason = "takes requests; without a disk it cannot vote"
    return _commented_yaml.Section(
        {
            "node_id": _Value(instance.name, "as answered"),
            "peer_address": _Value(
                _format_address(instance.ip, instance.peer_port),
                "where the other instances connect",
            ),
            "entry_address": _Value(
                _format_address(instance.ip, instance.entry_port),
                "where applications connect",
            ),
            "failure_domain_id": _Value(
                instance.failure_domain, "the site that it fails with"
            ),
            "roles": _Value(roles, reason),
        }
    )


def _format_address(ip: str, port: int) -> str:
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"


def _stop_deadline(answers: _answers.Answers) -> tuple[int, str]:
    completion_ms = max(
        (m.longest_answer_tokens * m.between_tokens_ms for m in answers.models),
        default=0,
    )
    service_ms = max(
        (_units.s_to_ms(s.longest_answer_s) for s in answers.services),
        default=0,
    )
    address_cache_ms = _units.s_to_ms(answers.tolerance.addresses_kept_s)
    return (
        address_cache_ms + max(completion_ms, service_ms),
        f"applications keep the address for {address_cache_ms} ms, then the "
        f"longest draft takes {completion_ms} ms or the longest call "
        f"{service_ms} ms",
    )


def _request_limit(answers: _answers.Answers) -> tuple[int, str]:
    tokens = max(
        (model.longest_answer_tokens for model in answers.models), default=0
    )
    return (
        max(tokens * BYTES_PER_TOKEN, MIN_REQUEST_BYTES),
        f"{BYTES_PER_TOKEN} bytes for each of {tokens} tokens, at least "
        f"{MIN_REQUEST_BYTES}",
    )
