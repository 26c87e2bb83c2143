"""Checks of a plan that its shape alone does not show."""

from collections.abc import Iterator

from lagooncrank import model


def find_problems(plan: model.Plan) -> Iterator[str]:
    """Yields what makes a plan invalid, as sentences that name the objects."""
    yield from _route_problems(plan)
    yield from _place_problems(plan)
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
            yield f"route {route.name!r}: its weights add up to 0"
        if route.timeout_ms <= 0:
            yield f"route {route.name!r}: timeout_ms must be positive"
        prefix = route.path_prefix
        if not prefix.startswith("/") or not prefix.endswith("/"):
            yield f"route {route.name!r}: prefix {prefix!r} lacks a slash"


def _place_problems(plan: model.Plan) -> Iterator[str]:
    places: set[tuple[str, str]] = set()
    for route in plan.routes:
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            yield f"route {route.name!r}: another has its host and prefix"
        places.add(place)


def _key_problems(plan: model.Plan) -> Iterator[str]:
    holders: dict[str, str] = {}
    for account in plan.accounts:
        for key in account.keys:
            holder = holders.setdefault(key, account.account)
            if holder != account.account:
                yield f"accounts {holder!r} and {account.account!r} share a key"
