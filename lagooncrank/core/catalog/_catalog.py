"""Look-ups of routes, accounts and services in a plan."""

from collections.abc import Iterator

from lagooncrank import model


class Catalog:
    """Index of a plan for the look-ups that each request needs."""

    def __init__(self, plan: model.Plan) -> None:
        self.plan = plan
        self._routes: dict[str, dict[str, model.Route]] = {}
        for route in plan.routes:
            host_routes = self._routes.setdefault(route.host.lower(), {})
            host_routes[route.path_prefix] = route
        self._accounts = {
            key: account for account in plan.accounts for key in account.keys
        }
        self.services = {service.name: service for service in plan.services}

    def find_route(self, host: str, path: str) -> model.Route | None:
        """Returns the route of the host with the longest matching prefix.

        Args:
            host: Host that the caller requested, without a port.
            path: Request path, without the query.
        """
        host_routes = self._routes.get(host.lower(), {})
        for prefix in _prefixes(path):
            route = host_routes.get(prefix)
            if route is not None:
                return route
        return None

    def find_account(self, key: str | None) -> model.AccountPlan | None:
        """Returns the account that a key belongs to, or None."""
        return None if key is None else self._accounts.get(key)

    def replica_size(self, service: model.ServiceName, name: str) -> int | None:
        """Returns the number of engines in one replica of a model, or None."""
        plan = self.services.get(service)
        if plan is None or plan.engine is None:
            return None
        replica_sizes = {m.name: m.size for m in plan.engine.models}
        return replica_sizes.get(name)

    def engine_slots(self, service: model.ServiceName) -> int:
        """Returns how many requests an engine serves concurrently, or 0."""
        plan = self.services.get(service)
        if plan is None or plan.engine is None:
            return 0
        return plan.engine.slots

    @property
    def requires_keys(self) -> bool:
        """Whether requests to routes that are not public require a key."""
        return bool(self.plan.accounts)


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first.

    >>> list(_prefixes("/a/b"))
    ['/a/', '/']
    """
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
