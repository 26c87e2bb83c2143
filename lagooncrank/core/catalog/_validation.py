"""Semantic checks of a serving configuration, beyond those of its schema."""

from collections.abc import Iterator

from lagooncrank import model


def find_problems(config: model.ServingConfig) -> Iterator[str]:
    """Yields the reasons why a configuration is invalid, naming the object."""
    yield from _route_problems(config)
    yield from _duplicate_problems(config)
    yield from _key_problems(config)


def _route_problems(config: model.ServingConfig) -> Iterator[str]:
    services = {service.name for service in config.services}
    for route in config.routes:
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
            yield (
                f"route {route.name!r}: prefix {prefix!r} must start and end "
                "with a slash"
            )


def _duplicate_problems(config: model.ServingConfig) -> Iterator[str]:
    seen: set[tuple[str, str]] = set()
    for route in config.routes:
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if host_and_prefix in seen:
            yield f"route {route.name!r}: another route has its host and prefix"
        seen.add(host_and_prefix)


def _key_problems(config: model.ServingConfig) -> Iterator[str]:
    # Two accounts may have one name, so a holder is known by its position.
    holders: dict[str, int] = {}
    for position, account in enumerate(config.accounts):
        for key in account.keys:
            holder = holders.setdefault(key, position)
            if holder != position:
                first = config.accounts[holder].account
                yield f"accounts {first!r} and {account.account!r} share a key"
