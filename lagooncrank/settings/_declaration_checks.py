"""Semantic checks of declarations, beyond the types of their fields."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from lagooncrank import model
from lagooncrank.settings import _formats
from lagooncrank.settings import _problems

#: Fields that must be positive, by class.
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

#: Fields that must not be negative, by class.
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

#: Largest integer that every JSON parser represents exactly.
MAX_NUMBER = 2**53 - 1
#: A leaving or expired backend server must get no new work after 3 s.
MAX_ANNOUNCEMENT_LEASE_MS = 3_000


def check_declarations(
    declarations: model.Declarations,
) -> tuple[_problems.Problem, ...]:
    """Returns every problem that the type checks do not detect.

    >>> rules = model.LeaseRules(announcement_ms=9_000)
    >>> check_declarations(model.Declarations(leases=rules))[0].field
    'leases.announcement_ms'
    """
    return tuple(_find_problems(declarations))


def _find_problems(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    for field, section in _sections(declarations):
        yield from _check_bounds(field, section)
    yield from _check_names(declarations)
    yield from _check_model_services(declarations)
    yield from _check_plain_services(declarations)
    yield from _check_accounts(declarations)
    yield from _check_leases(declarations)


def _sections(declarations: model.Declarations) -> Iterator[tuple[str, object]]:
    for field in dataclasses.fields(declarations):
        value = getattr(declarations, field.name)
        if isinstance(value, tuple):
            for index, item in enumerate(value):
                yield f"{field.name}[{index}]", item
        else:
            yield field.name, value


def _check_bounds(field: str, section: object) -> Iterator[_problems.Problem]:
    for name, value in _numeric_fields(section):
        if not abs(value) <= MAX_NUMBER:
            yield _problems.Problem(
                f"{field}.{name}", f"is {value}, must be at most {MAX_NUMBER}"
            )
    for name in _POSITIVE.get(type(section), ()):
        value = getattr(section, name)
        if not value > 0:
            yield _problems.Problem(
                f"{field}.{name}", f"is {value}, must be above 0"
            )
    for name in _NOT_NEGATIVE.get(type(section), ()):
        value = getattr(section, name)
        if not value >= 0:
            yield _problems.Problem(
                f"{field}.{name}", f"is {value}, must be 0 or more"
            )


def _numeric_fields(section: object) -> Iterator[tuple[str, float]]:
    for field in dataclasses.fields(section):  # type: ignore[arg-type]
        value = getattr(section, field.name)
        if isinstance(value, (int, float)):
            yield field.name, value


def _check_names(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    services = _named_items("model_services", declarations.model_services)
    services += _named_items("plain_services", declarations.plain_services)
    accounts = _named_items("client_accounts", declarations.client_accounts)
    for named_items in (services, accounts):
        seen: dict[str, str] = {}
        for field, name in named_items:
            if not _formats.is_name(name):
                yield _problems.Problem(
                    f"{field}.name",
                    f"{name!r} is not allowed: use {_formats.NAME_RULE}",
                )
            if name in seen:
                yield _problems.Problem(
                    f"{field}.name",
                    f"{name!r} is already the name of {seen[name]}; "
                    "use unique names",
                )
            seen.setdefault(name, field)


def _named_items(
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
                f"{field}.version", "is empty; specify the version"
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
                f"is {path!r}; it must start with '/' and contain '{{key}}' "
                "in place of the key, such as '/outcomes/{key}'",
            )


def _check_accounts(
    declarations: model.Declarations,
) -> Iterator[_problems.Problem]:
    services = {s.name for s in declarations.model_services}
    services |= {s.name for s in declarations.plain_services}
    owners: dict[str, str] = {}
    for index, account in enumerate(declarations.client_accounts):
        field = f"client_accounts[{index}]"
        yield from _check_key_digests(field, account, owners)
        for position, name in enumerate(account.services):
            if name not in services:
                yield _problems.Problem(
                    f"{field}.services[{position}]",
                    f"{name!r} is not declared; use one of "
                    f"{', '.join(sorted(services)) or '(none declared)'}",
                )


def _check_key_digests(
    field: str, account: model.ClientAccount, owners: dict[str, str]
) -> Iterator[_problems.Problem]:
    for position, digest in enumerate(account.key_sha256s):
        key_field = f"{field}.key_sha256s[{position}]"
        if not _formats.is_key_digest(digest):
            yield _problems.Problem(
                key_field, f"must be {_formats.KEY_DIGEST_RULE}"
            )
        elif digest in owners:
            yield _problems.Problem(
                key_field,
                f"is already a key of {owners[digest]}; use different "
                "keys for each client account",
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
            "that a lost backend server gets no new work after that time",
        )
