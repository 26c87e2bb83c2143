"""Semantic checks of a plan, beyond those of its schema."""

from collections.abc import Iterator

from lagooncrank import model


def find_problems(plan: model.Plan) -> Iterator[str]:
    """Yields the reasons why a plan is invalid, naming the object at fault."""
    yield from _route_problems(plan)
    yield from _duplicate_problems(plan)
    yield from _key_problems(plan)


def _route_problems(plan: model.Plan) -> Iterator[str]:
    services = {service.name for service in plan.services}
    for route in plan.routes:
        for split in route.splits:
            if split.service not in services:
                yield f"route {route.name!r}: unknown service {split.service!r}"
            if split.weight < 0:
                yield f"route {route.name!r}: weight {split.weight} is negative"
        if sum(split.weight for split in route.splits) <= 0:
            yield f"route {route.name!r}: weights add up to 0"
        if route.timeout_ms <= 0:
            yield f"route {route.name!r}: timeout_ms must be positive"
        prefix = route.path_prefix
        if not prefix.startswith("/") or not prefix.endswith("/"):
            yield f"route {route.name!r}: prefix {prefix!r} lacks a slash"


def _duplicate_problems(plan: model.Plan) -> Iterator[str]:
    seen: set[tuple[str, str]] = set()
    for route in plan.routes:
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if host_and_prefix in seen:
            yield f"route {route.name!r}: another route has its host and prefix"
        seen.add(host_and_prefix)


def _key_problems(plan: model.Plan) -> Iterator[str]:
    holders: dict[str, str] = {}
    for account in plan.accounts:
        for key in account.keys:
            holder = holders.setdefault(key, account.account)
            if holder != account.account:
                yield f"accounts {holder!r} and {account.account!r} share a key"
