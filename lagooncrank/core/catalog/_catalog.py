"""Look-ups of routes, accounts and services in a serving configuration."""

from collections.abc import Iterator

from lagooncrank import model


class Catalog:
    """Index of a configuration for the look-ups that each request needs."""

    def __init__(self, config: model.ServingConfig) -> None:
        self.config = config
        self._routes: dict[str, dict[str, model.Route]] = {}
        for route in config.routes:
            host_routes = self._routes.setdefault(route.host.lower(), {})
            host_routes[route.path_prefix] = route
        self._account_by_key = {
            key: account for account in config.accounts for key in account.keys
        }
        self.services = {service.name: service for service in config.services}

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

    def find_account(self, key: str | None) -> model.AccountConfig | None:
        """Returns the account that a key belongs to, or None."""
        return None if key is None else self._account_by_key.get(key)

    def replica_size(
        self, service: model.ServiceName, model_name: str
    ) -> int | None:
        """Returns the number of engines in one replica of a model, or None."""
        service_config = self.services.get(service)
        if service_config is None or service_config.engine is None:
            return None
        replica_sizes = {
            m.name: m.engines_per_replica for m in service_config.engine.models
        }
        return replica_sizes.get(model_name)

    def engine_slots(self, service: model.ServiceName) -> int:
        """Returns how many requests an engine serves concurrently, or 0."""
        service_config = self.services.get(service)
        if service_config is None or service_config.engine is None:
            return 0
        return service_config.engine.slots

    @property
    def requires_keys(self) -> bool:
        """Whether requests to routes that are not public require a key."""
        return bool(self.config.accounts)


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first.

    >>> list(_prefixes("/a/b"))
    ['/a/', '/']
    """
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
