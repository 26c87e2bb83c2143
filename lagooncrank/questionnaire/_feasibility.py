"""Checks whether the answers allow a configuration."""

from collections.abc import Iterator

from lagooncrank import clock as clocks
from lagooncrank.questionnaire import _answer_checks
from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _demand
from lagooncrank.questionnaire import _problems
from lagooncrank.questionnaire import _replica_placement
from lagooncrank.questionnaire import _voters


def find_problems(
    answers: _answers.Answers,
) -> tuple[_problems.AnswerProblem, ...]:
    """Returns all problems; if there are none, `generate` succeeds."""
    invalid = tuple(_answer_checks.check_single_answers(answers))
    if invalid:
        return invalid
    return tuple(_find_conflicts(answers))


def _find_conflicts(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    yield from _check_voters(answers)
    yield from _check_references(answers)
    yield from _check_instance_capacity(answers)
    for index, model in enumerate(answers.models):
        yield from _check_model(f"models[{index}]", model)
        yield from _check_capacity(f"models[{index}]", model, answers)
    for index, account in enumerate(answers.accounts):
        yield from _check_account(f"accounts[{index}]", account, answers)
    for index, service in enumerate(answers.services):
        yield from _check_service(f"services[{index}]", service)


def _check_voters(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    if _voters.choose_voters(answers) is not None:
        return
    with_disk = [i for i in answers.entry_instances if i.data_folder]
    domains = {instance.failure_domain for instance in with_disk}
    fixes = {
        _answers.Survival.FAILURE_DOMAIN: (
            "give a data_folder to instances in at least 3 failure domains, "
            "or set tolerance.survive to instance"
        ),
        _answers.Survival.INSTANCE: (
            "give a data_folder to at least 3 instances, or set "
            "tolerance.survive to nothing"
        ),
        _answers.Survival.NOTHING: "give a data_folder to one instance",
    }
    yield _problems.AnswerProblem(
        ("entry_instances.data_folder", "tolerance.survive"),
        f"{len(with_disk)} instances with a disk in {len(domains)} failure "
        f"domains do not retain a majority after the loss of "
        f"{answers.tolerance.survive.value}",
        fixes[answers.tolerance.survive],
    )


def _check_references(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    models = [model.name for model in answers.models]
    services = [service.name for service in answers.services]
    for account_index, account in enumerate(answers.accounts):
        used = [
            (f"traffic[{i}].model", t.model, models, "models")
            for i, t in enumerate(account.traffic)
        ]
        used += [
            (f"services[{i}]", name, services, "services")
            for i, name in enumerate(account.services)
        ]
        for field, name, known, list_name in used:
            if name not in known:
                yield _problems.AnswerProblem(
                    (f"accounts[{account_index}].{field}", list_name),
                    f"{name!r} is not among {', '.join(known) or 'none'}",
                    f"use one of these, or add {name!r} to {list_name}",
                )
        if not used:
            yield _problems.AnswerProblem(
                (
                    f"accounts[{account_index}].traffic",
                    f"accounts[{account_index}].services",
                ),
                "both are empty, so the account may use nothing",
                "name a model or a service, or leave the account out",
            )


def _check_instance_capacity(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    spares = answers.tolerance.further_losses
    for index, placement in enumerate(
        _replica_placement.place_replicas(answers)
    ):
        model = answers.models[index]
        if placement.replicas >= model.replicas:
            continue
        missing = (model.replicas - placement.replicas) * (
            model.instances_per_replica
        )
        yield _problems.AnswerProblem(
            (
                f"models[{index}].replicas",
                "fabric_domains.instances",
                "tolerance.further_losses",
            ),
            f"{model.replicas} replicas of {model.instances_per_replica} "
            f"instances are requested; with {spares} instances kept free in "
            f"each fabric domain, {placement.replicas} fit, since a replica "
            "must not span fabric domains",
            f"ask for {placement.replicas} replicas, add {missing} instances "
            f"in groups of {model.instances_per_replica} to a fabric domain, "
            "or keep fewer free",
        )


def _check_model(
    field: str, model: _answers.ModelAnswers
) -> Iterator[_problems.AnswerProblem]:
    if model.replicas_floor > model.replicas:
        yield _problems.AnswerProblem(
            (f"{field}.replicas_floor", f"{field}.replicas"),
            f"{model.replicas_floor} replicas must stay up, but only "
            f"{model.replicas} are requested",
            f"lower replicas_floor to {model.replicas} or less",
        )
    token_interval_ms = (
        clocks.MS_PER_S
        * model.concurrency_per_replica
        / model.tokens_per_s_per_replica
    )
    if token_interval_ms > model.between_tokens_ms:
        max_concurrency = (
            model.between_tokens_ms * model.tokens_per_s_per_replica
        ) // clocks.MS_PER_S
        yield _problems.AnswerProblem(
            (
                f"{field}.between_tokens_ms",
                f"{field}.concurrency_per_replica",
                f"{field}.tokens_per_s_per_replica",
            ),
            f"a full replica needs {token_interval_ms:.0f} ms between two "
            f"tokens of one draft, but {model.between_tokens_ms} ms are "
            "allowed",
            f"let a replica write at most {max_concurrency} drafts at once, "
            f"or allow {token_interval_ms:.0f} ms",
        )


def _check_capacity(
    field: str, model: _answers.ModelAnswers, answers: _answers.Answers
) -> Iterator[_problems.AnswerProblem]:
    demand = _demand.demand_for(answers, model.name)
    floor = _demand.usable_tokens_per_s(model, model.replicas_floor)
    usable = _demand.usable_tokens_per_s(model, model.replicas)
    if demand.total > usable:
        yield _problems.AnswerProblem(
            ("accounts.traffic", f"{field}.replicas"),
            f"the accounts ask {model.name} for {demand.total:.0f} tokens/s, "
            f"but {model.replicas} replicas provide {usable:.0f} with a tenth "
            "in reserve",
            f"run {_demand.required_replicas(model, demand.total)} replicas or "
            "admit less traffic",
        )
    elif demand.small > floor:
        yield _problems.AnswerProblem(
            ("accounts.traffic", f"{field}.replicas_floor"),
            f"the small accounts alone ask {model.name} for "
            f"{demand.small:.0f} tokens/s, but {model.replicas_floor} replicas "
            f"provide {floor:.0f} with a tenth in reserve, so these accounts "
            "would miss their targets during planned work",
            f"raise replicas_floor to "
            f"{_demand.required_replicas(model, demand.small)}",
        )


def _check_account(
    field: str,
    account: _answers.AccountAnswers,
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    models = {model.name: model for model in answers.models}
    for index, traffic in enumerate(account.traffic):
        model = models.get(traffic.model)
        if model is None:
            continue
        if account.first_token_wait_s < model.fastest_first_token_s:
            yield _problems.AnswerProblem(
                (
                    f"{field}.first_token_wait_s",
                    f"models.{model.name}.fastest_first_token_s",
                ),
                f"{account.first_token_wait_s} s are allowed, but even an "
                f"idle replica takes {model.fastest_first_token_s} s",
                f"allow at least {model.fastest_first_token_s} s",
            )
        if traffic.answer_tokens > model.longest_answer_tokens:
            yield _problems.AnswerProblem(
                (
                    f"{field}.traffic[{index}].answer_tokens",
                    f"models.{model.name}.longest_answer_tokens",
                ),
                f"a usual draft has {traffic.answer_tokens} tokens, but the "
                f"longest may have {model.longest_answer_tokens}",
                f"raise longest_answer_tokens to {traffic.answer_tokens}",
            )


def _check_service(
    field: str, service: _answers.ServiceAnswers
) -> Iterator[_problems.AnswerProblem]:
    path = service.outcome_path
    if path and ("{key}" not in path or not path.startswith("/")):
        yield _problems.AnswerProblem(
            (f"{field}.outcome_path",),
            f"is {path!r}",
            "start it with / and write {key} in place of the key, or leave "
            "it empty",
        )
    if not service.may_repeat and service.remembered_h <= 0:
        yield _problems.AnswerProblem(
            (f"{field}.remembered_h", f"{field}.may_repeat"),
            "the outcome of a call that may not be repeated has to be retained",
            "retain it for as long as customers may retry, such as 24",
        )
