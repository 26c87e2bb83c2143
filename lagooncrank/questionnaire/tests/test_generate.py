from collections.abc import Callable
import dataclasses
import pathlib
from typing import Any

import pytest
from returns import result

from lagooncrank import questionnaire
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.questionnaire.tests import checks

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
Answers = questionnaire.Answers
Change = Callable[[Answers], Answers]


def load(name: str) -> Answers:
    code = results.ResultCode.INVALID_DECLARATIONS
    return settings.load(EXAMPLES / f"{name}.yaml", Answers, code)


def change_nested(field: str, **changes: Any) -> Change:
    """Returns a change to a nested object, or to the first of a list."""

    def change(answers: Answers) -> Answers:
        nested = getattr(answers, field)
        if isinstance(nested, tuple):
            first = dataclasses.replace(nested[0], **changes)
            replaced: dict[str, Any] = {field: (first, *nested[1:])}
        else:
            replaced = {field: dataclasses.replace(nested, **changes)}
        return dataclasses.replace(answers, **replaced)

    return change


def without_disks(answers: Answers) -> Answers:
    instances = tuple(
        dataclasses.replace(instance, data_folder="")
        for instance in answers.entry_instances
    )
    return dataclasses.replace(answers, entry_instances=instances)


def in_two_failure_domains(answers: Answers) -> Answers:
    instances = tuple(
        dataclasses.replace(instance, failure_domain=f"site-{index % 2}")
        for index, instance in enumerate(answers.entry_instances)
    )
    return dataclasses.replace(answers, entry_instances=instances)


def traffic(requests_per_s: float, tokens: int = 400) -> Any:
    return (questionnaire.TrafficAnswers("drafting", requests_per_s, tokens),)


#: Change to Nilegrid's answers, fields that the problem must name, and a part
#: of its text.
PROBLEMS: dict[str, tuple[Change, tuple[str, ...], str]] = {
    "too_few_instances": (
        change_nested("models", replicas=12),
        (
            "models[0].replicas",
            "fabric_domains.instances",
            "tolerance.further_losses",
        ),
        "with 1 instances kept free in each fabric domain, 11 fit",
    ),
    "no_disks": (
        without_disks,
        ("entry_instances.data_folder", "tolerance.survive"),
        "0 instances with a disk in 0 failure domains do not retain a majority",
    ),
    "two_failure_domains": (
        in_two_failure_domains,
        ("entry_instances.data_folder", "tolerance.survive"),
        "at least 3 failure domains",
    ),
    "target_below_the_engine": (
        change_nested("accounts", first_token_wait_s=0.1),
        (
            "accounts[0].first_token_wait_s",
            "models.drafting.fastest_first_token_s",
        ),
        "even an idle replica takes 0.3 s",
    ),
    "traffic_above_capacity": (
        change_nested("accounts", traffic=traffic(100.0)),
        ("accounts.traffic", "models[0].replicas"),
        "run 31 replicas or admit less traffic",
    ),
    "small_accounts_above_floor": (
        change_nested("models", replicas_floor=1),
        ("accounts.traffic", "models[0].replicas_floor"),
        "raise replicas_floor to 2",
    ),
    "floor_above_replicas": (
        change_nested("models", replicas_floor=12),
        ("models[0].replicas_floor", "models[0].replicas"),
        "lower replicas_floor to 11 or less",
    ),
    "too_many_drafts_at_once": (
        change_nested("models", concurrency_per_replica=200),
        (
            "models[0].between_tokens_ms",
            "models[0].concurrency_per_replica",
            "models[0].tokens_per_s_per_replica",
        ),
        "at most 102 drafts at once",
    ),
    "draft_too_long": (
        change_nested("accounts", traffic=traffic(0.1, 5_000)),
        (
            "accounts[0].traffic[0].answer_tokens",
            "models.drafting.longest_answer_tokens",
        ),
        "raise longest_answer_tokens to 5000",
    ),
    "unknown_service": (
        change_nested("accounts", services=("permits",)),
        ("accounts[0].services[0]", "services"),
        "'permits' is not among site-visits, meter-slots, status",
    ),
    "account_uses_nothing": (
        change_nested("accounts", services=(), traffic=()),
        ("accounts[0].traffic", "accounts[0].services"),
        "both are empty",
    ),
    "outcome_not_retained": (
        change_nested("services", remembered_h=0.0),
        ("services[0].remembered_h", "services[0].may_repeat"),
        "has to be retained",
    ),
    "lookup_without_key": (
        change_nested("services", outcome_path="/outcomes"),
        ("services[0].outcome_path",),
        "write {key} in place of the key",
    ),
    "zero_rate": (
        change_nested("weight_store", gib_per_s=0.0),
        ("weight_store.gib_per_s",),
        "give a number that is above 0",
    ),
    "not_a_number": (
        change_nested("tolerance", idle_accelerator_minutes=float("nan")),
        ("tolerance.idle_accelerator_minutes",),
        "is nan",
    ),
    "host_name": (
        change_nested("entry_instances", ip="cairo.example"),
        ("entry_instances[0].ip",),
        "host names are not resolved",
    ),
    "same_address": (
        change_nested("entry_instances", ip="10.20.2.10"),
        ("entry_instances[0].entry_port", "entry_instances[1].entry_port"),
        "both are port 8100 of 10.20.2.10",
    ),
    "same_account_name": (
        change_nested("accounts", name="permit-desk"),
        ("accounts[0].name", "accounts[2].name"),
        "give each its own name",
    ),
    "name_with_space": (
        change_nested("models", name="the model"),
        ("models[0].name",),
        "use 1 to 63 letters",
    ),
    "plain_key": (
        change_nested("accounts", key_sha256s=("secret",)),
        ("accounts[0].key_sha256s[0]",),
        "is not a SHA-256 digest",
    ),
}


@pytest.mark.parametrize(
    ("change", "fields", "text"), PROBLEMS.values(), ids=PROBLEMS.keys()
)
def test_unsatisfiable_answers_are_rejected(
    change: Change, fields: tuple[str, ...], text: str
) -> None:
    generated = questionnaire.generate(change(load("nilegrid")))
    assert isinstance(generated, result.Failure)
    by_fields = {problem.fields: problem for problem in generated.failure()}
    assert fields in by_fields
    assert text in str(by_fields[fields])
    assert by_fields[fields].fix


@pytest.mark.parametrize("name", ["nilegrid", "siam"])
def test_example_answers_generate_accepted_files(name: str) -> None:
    first = questionnaire.generate(load(name)).unwrap()
    assert questionnaire.generate(load(name)).unwrap() == first
    checks.check_accepted(first)


def test_weights_follow_the_tolerance_of_each_deployment() -> None:
    weights = {}
    for name in ("nilegrid", "siam"):
        text = questionnaire.generate(load(name)).unwrap().declarations.text
        placement = settings.parse_declarations(text, name).placement
        accelerators = 32
        stranded = placement.stranded_accelerator_weight * accelerators
        weights[name] = placement.group_downtime_weight / stranded
    assert weights["nilegrid"] > 1 > weights["siam"]
