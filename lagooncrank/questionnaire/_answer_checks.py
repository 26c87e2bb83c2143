"""Checks each answer by itself: numbers, names, addresses and digests."""

from collections.abc import Iterable
from collections.abc import Iterator
import math
import typing

from lagooncrank import settings
from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _problems
from lagooncrank.questionnaire import _question

#: Largest number allowed in an answer.
MAX_ANSWER = 1e9

#: Number fields that may be zero; all others must be positive.
_MAY_BE_ZERO = frozenset(
    {
        "replicas_floor",
        "further_losses",
        "weight_gib_per_instance",
        "usual_pause_s",
        "trusted_after_s",
        "remembered_h",
    }
)


def check_single_answers(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    """Yields the problems of answers that are invalid by themselves."""
    yield from _check_numbers("", answers)
    yield from _check_names(answers)
    yield from _check_addresses(answers)
    yield from _check_digests(answers)


def _check_numbers(
    path: str, value: typing.Any
) -> Iterator[_problems.AnswerProblem]:
    for answer_field in _question.answer_fields(type(value)):
        item = getattr(value, answer_field.name)
        field = f"{path}.{answer_field.name}" if path else answer_field.name
        if answer_field.item_type is not None and answer_field.is_list:
            for index, element in enumerate(item):
                yield from _check_numbers(f"{field}[{index}]", element)
        elif answer_field.item_type is not None:
            yield from _check_numbers(field, item)
        elif answer_field.answer_type in (int, float):
            yield from _check_number(field, answer_field.name, item)


def _check_number(
    field: str, name: str, number: float
) -> Iterator[_problems.AnswerProblem]:
    minimum = "0 or more" if name in _MAY_BE_ZERO else "above 0"
    is_above_minimum = number >= 0 if name in _MAY_BE_ZERO else number > 0
    maximum = settings.MAX_PORT if name.endswith("_port") else MAX_ANSWER
    if not is_above_minimum or not number <= maximum or math.isnan(number):
        yield _problems.AnswerProblem(
            (field,),
            f"is {number}",
            f"give a number that is {minimum} and at most {maximum:.0f}",
        )


def _check_names(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    yield from _check_list_names("entry_instances", answers.entry_instances)
    yield from _check_list_names("fabric_domains", answers.fabric_domains)
    yield from _check_list_names("accounts", answers.accounts)
    services = {f"models[{i}]": m.name for i, m in enumerate(answers.models)}
    for index, service in enumerate(answers.services):
        services[f"services[{index}]"] = service.name
    yield from _check_unique_names(services)
    if not settings.is_name(answers.deployment):
        yield _invalid_name("deployment", answers.deployment)


def _check_list_names(
    field: str,
    items: Iterable[
        _answers.EntryInstanceAnswers
        | _answers.FabricDomainAnswers
        | _answers.AccountAnswers
    ],
) -> Iterator[_problems.AnswerProblem]:
    names = {f"{field}[{i}]": item.name for i, item in enumerate(items)}
    yield from _check_unique_names(names)
    for index, item in enumerate(items):
        domain = getattr(item, "failure_domain", None)
        if domain is not None and not settings.is_name(domain):
            yield _invalid_name(f"{field}[{index}].failure_domain", domain)


def _check_unique_names(
    names: dict[str, str],
) -> Iterator[_problems.AnswerProblem]:
    seen: dict[str, str] = {}
    for field, name in names.items():
        if not settings.is_name(name):
            yield _invalid_name(f"{field}.name", name)
        elif name in seen:
            yield _problems.AnswerProblem(
                (f"{seen[name]}.name", f"{field}.name"),
                f"both are {name!r}",
                "give each its own name",
            )
        seen.setdefault(name, field)


def _invalid_name(field: str, name: str) -> _problems.AnswerProblem:
    return _problems.AnswerProblem(
        (field,),
        f"{name!r} is not a valid name",
        f"use {settings.NAME_RULE}",
    )


def _check_addresses(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    seen: dict[tuple[str, int], str] = {}
    for index, instance in enumerate(answers.entry_instances):
        field = f"entry_instances[{index}]"
        if not settings.is_ip(instance.ip):
            yield _problems.AnswerProblem(
                (f"{field}.ip",),
                f"{instance.ip!r} is not an IP address",
                "give an address such as 10.0.0.1; host names are not resolved",
            )
        for name in ("entry_port", "peer_port"):
            port_field = f"{field}.{name}"
            address = (instance.ip, getattr(instance, name))
            if address in seen:
                yield _problems.AnswerProblem(
                    (seen[address], port_field),
                    f"both are port {address[1]} of {address[0]}",
                    "give each its own port",
                )
            seen.setdefault(address, port_field)


def _check_digests(
    answers: _answers.Answers,
) -> Iterator[_problems.AnswerProblem]:
    digests = {
        f"operator_key_sha256s[{index}]": digest
        for index, digest in enumerate(answers.operator_key_sha256s)
    }
    for account_index, account in enumerate(answers.accounts):
        for index, digest in enumerate(account.key_sha256s):
            digests[f"accounts[{account_index}].key_sha256s[{index}]"] = digest
    seen: dict[str, str] = {}
    for field, digest in digests.items():
        if not settings.is_key_digest(digest):
            yield _problems.AnswerProblem(
                (field,),
                "is not a SHA-256 digest",
                "give 64 lower-case hexadecimal digits, as printed by "
                "'printf %s KEY | sha256sum'",
            )
        elif digest in seen:
            yield _problems.AnswerProblem(
                (seen[digest], field),
                "both are the same key",
                "give each its own",
            )
        seen.setdefault(digest, field)
