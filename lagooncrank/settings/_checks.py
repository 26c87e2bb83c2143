"""Checks of declarations that go beyond the type of each field."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.settings import _formats
from lagooncrank.settings import _problems

#: Fields that must be above zero, by the class that holds them.
_POSITIVE = {
    model.ModelService: (
        "replicas",
        "instances_per_replica",
        "concurrency_per_replica",
        "tokens_per_s_per_replica",
        "max_output_tokens",
        "first_token_target_ms",
        "between_tokens_target_ms",
    ),
    model.PlainService: ("timeout_ms", "answer_retention_ms"),
    model.ClientAccount: (
        "share",
        "first_token_target_ms",
        "max_queued_requests",
    ),
    model.PlacementRules: ("max_order_ms",),
    model.WeightStoreRules: ("bytes_per_s", "concurrent_loads"),
    model.LeaseRules: (
        "announcement_ms",
        "configuration_ms",
        "entries_keep_for_ms",
    ),
    model.RetryRules: ("max_attempts", "suspicion_ms"),
}

#: Fields that must not be negative, by the class that holds them.
_NOT_NEGATIVE = {
    model.ModelService: (
        "replicas_floor",
        "accelerators_per_instance",
        "weight_bytes_per_instance",
    ),
    model.PlacementRules: (
        "group_downtime_weight",
        "stranded_accelerator_weight",
        "spare_instances",
        "pause_grace_ms",
        "hold_down_ms",
    ),
    model.RetryRules: ("budget_ratio", "min_retries_per_minute"),
}

#: Largest number that every JSON reader keeps exactly.
MAX_NUMBER = 2**53 - 1
#: A leaving or lapsed backend server must lose new work within 3 s.
MAX_ANNOUNCEMENT_LEASE_MS = 3_000


def check_declarations(
    declarations: model.Declarations,
) -> tuple[_problems.Problem, ...]:
    """Returns every fault that types alone do not show.

    >>> rules = model.LeaseRules(announcement_ms=9_000)
    >>> check_declarations(model.Declarations(leases=rules))[0].field
    'leases.announcement_ms'
    """
    return tuple(_check(declarations))


def _check(declarations: model.Declarations) -> Iterator[_problems.Problem]:
    for field, part in _parts(declarations):
        yield from _bounds(field, part)
    yield from _check_names(declarations)
    yield from _check_model_services(declarations)
    yield from _check_plain_services(declarations)
    yield from _check_accounts(declarations)
    yield from _check_leases(declarations)


def _parts(declarations: model.Declarations) -> Iterator[tuple[str, object]]:
    for field in dataclasses.fields(declarations):
        value = getattr(declarations, field.name)
        if isinstance(value, tuple):
            for index, item in enumerate(value):
                yield f"{field.name}[{index}]", item
        else:
            yield field.name, value


def _bounds(field: str, part: object) -> Iterator[_problems.Problem]:
    for name, value in _numbers(part):
        if not abs(value) <= MAX_NUMBER:
            yield _problems.Problem(
                f"{field}.{name}", f"is {value}, must be at most {MAX_NUMBER}"
            )
    for name in _POSITIVE.get(type(part), ()):
        value = getattr(part, name)
        if not value > 0:
            yield _problems.Problem(
                f"{field}.{name}", f"is {value}, must be above 0"
            )
    for name in _NOT_NEGATIVE.get(type(part), ()):
        value = getattr(part, name)
        if not value >= 0:
            yield _problems.Problem(
                f"{field}.{name}", f"is {value}, must be 0 or more"
            )


def _numbers(part: object) -> Iterator[tuple[str, float]]:
    for field in dataclasses.fields(part):  # type: ignore[arg-type]
        value = getattr(part, field.name)
        if isinstance(value, (int, float)):
            yield field.name, value


def _check_names(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    services = _names("model_services", declarations.model_services)
    services += _names("plain_services", declarations.plain_services)
    accounts = _names("client_accounts", declarations.client_accounts)
    for named in (services, accounts):
        seen: dict[str, str] = {}
        for field, name in named:
            if not _formats.is_name(name):
                yield _problems.Problem(
                    f"{field}.name",
                    f"{name!r} is not allowed: use {_formats.NAME_RULE}",
                )
            if name in seen:
                yield _problems.Problem(
                    f"{field}.name",
                    f"{name!r} is already the name of {seen[name]}; "
                    "give each its own",
                )
            seen.setdefault(name, field)


def _names(
    field: str,
    items: Iterable[
        model.ModelService | model.PlainService | model.ClientAccount
    ],
) -> list[tuple[str, str]]:
    return [(f"{field}[{i}]", str(item.name)) for i, item in enumerate(items)]


def _check_model_services(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    for index, service in enumerate(declarations.model_services):
        field = f"model_services[{index}]"
        if service.replicas_floor > service.replicas:
            yield _problems.Problem(
                f"{field}.replicas_floor",
                f"is {service.replicas_floor}, above replicas "
                f"({service.replicas}); lower the floor or add replicas",
            )
        if not service.version:
            yield _problems.Problem(
                f"{field}.version", "is empty; name the version"
            )


def _check_plain_services(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    for index, service in enumerate(declarations.plain_services):
        path = service.outcome_lookup_path
        field = f"plain_services[{index}].outcome_lookup_path"
        if path is None:
            continue
        if "{key}" not in path or not path.startswith("/"):
            yield _problems.Problem(
                field,
                f"is {path!r}; it must start with '/' and hold '{{key}}' "
                "where the key goes, such as '/outcomes/{key}'",
            )


def _check_accounts(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    services = {s.name for s in declarations.model_services}
    services |= {s.name for s in declarations.plain_services}
    owners: dict[str, str] = {}
    for index, account in enumerate(declarations.client_accounts):
        field = f"client_accounts[{index}]"
        yield from _check_keys(field, account, owners)
        for at, name in enumerate(account.services):
            if name not in services:
                yield _problems.Problem(
                    f"{field}.services[{at}]",
                    f"{name!r} is not declared; use one of "
                    f"{', '.join(sorted(services)) or '(none declared)'}",
                )


def _check_keys(
    field: str, account: model.ClientAccount, owners: dict[str, str]
) -> Iterator[_problems.Problem]:
    for at, digest in enumerate(account.key_sha256s):
        place = f"{field}.key_sha256s[{at}]"
        if not _formats.is_key_digest(digest):
            yield _problems.Problem(
                place, f"must be {_formats.KEY_DIGEST_RULE}"
            )
        elif digest in owners:
            yield _problems.Problem(
                place,
                f"is already a key of {owners[digest]}; give each client "
                "account its own",
            )
        owners.setdefault(digest, account.name)


def _check_leases(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    lease_ms = declarations.leases.announcement_ms
    if lease_ms > MAX_ANNOUNCEMENT_LEASE_MS:
        yield _problems.Problem(
            "leases.announcement_ms",
            f"is {lease_ms}, must be at most {MAX_ANNOUNCEMENT_LEASE_MS}, so "
            "that a lost backend server gets no new work after that",
        )
