"""Look-ups in a plan: which route, which account, which service."""

from collections.abc import Iterator

from lagooncrank import model


class Catalog:
    """A plan indexed for the requests that it decides on."""

    def __init__(self, plan: model.Plan) -> None:
        self.plan = plan
        self._routes: dict[str, dict[str, model.Route]] = {}
        for route in plan.routes:
            of_host = self._routes.setdefault(route.host.lower(), {})
            of_host[route.path_prefix] = route
        self._accounts = {
            key: account for account in plan.accounts for key in account.keys
        }
        self.services = {service.name: service for service in plan.services}

    def find_route(self, host: str, path: str) -> model.Route | None:
        """Returns the route of the host with the longest matching prefix.

        Args:
            host: Host that the caller names, without a port.
            path: Path of the request, without its query.
        """
        of_host = self._routes.get(host.lower(), {})
        for prefix in _prefixes(path):
            route = of_host.get(prefix)
            if route is not None:
                return route
        return None

    def find_account(self, key: str | None) -> model.AccountPlan | None:
        """Returns the account that holds a key."""
        return None if key is None else self._accounts.get(key)

    def model_size(self, service: model.ServiceName, name: str) -> int | None:
        """Returns how many engines serve one replica of a model."""
        plan = self.services.get(service)
        if plan is None or plan.engine is None:
            return None
        sizes = {m.name: m.size for m in plan.engine.models}
        return sizes.get(name)

    def engine_slots(self, service: model.ServiceName) -> int:
        """Returns the requests that an engine works on at once, or 0."""
        plan = self.services.get(service)
        if plan is None or plan.engine is None:
            return 0
        return plan.engine.slots

    @property
    def requires_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
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
