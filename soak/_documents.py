"""Documents of the soak's operators: valid changes and invalid ones."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import copy
import dataclasses
import enum
import json
import random
from typing import Any
from typing import Final

from lagooncrank_platform.tests import local_cluster
from lagooncrank_platform.tests import provider_protocol

from lagooncrank import registry

#: Plain services that routes move between.
SERVICES: Final = ("desk", "annex")
#: Most routes, keys and services that are added at one time.
MAX_ADDED: Final = 5
#: Path of a route that needs a key and is in every document.
KEYED_PATH: Final = "/keyed/"
#: Path of a route that only documents have that are never in force.
NEVER_PATH: Final = "/never/"
MAX_STEP: Final = 3
#: Target latencies of the first routes, by name; callers of plain services are
#: served again elsewhere after a silence that is shorter than a server's pause.
TARGET_LATENCIES_MS: Final = {"lookup": 100, "booking": 100}
#: Timeouts that changes choose from; the first ones are in force first.
TIMEOUTS_MS: Final = (20_000, 15_000, 10_000)
IDLE_TIMEOUTS_MS: Final = (15_000, 30_000, 10_000)

Document = dict[str, Any]


class Handling(enum.Enum):
    """What an entry does with a request that no service runs."""

    UNKNOWN_ROUTE = enum.auto()
    UNKNOWN_KEY = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """What a document declares beyond what all of them have."""

    #: Names of added routes and the services that run them.
    routes: tuple[tuple[str, str], ...] = ()
    keys: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    #: Timeout of the added routes.
    timeout_ms: int = TIMEOUTS_MS[0]
    #: For how long callers may leave a connection idle.
    idle_timeout_ms: int = IDLE_TIMEOUTS_MS[0]

    def handling(self, route: str, key: str) -> str | Handling:
        """Returns the service that runs a request, or why none does.

        Args:
            route: Name of an added route; empty for the keyed one.
            key: Key of the request.
        """
        if route and route not in dict(self.routes):
            return Handling.UNKNOWN_ROUTE
        if key != provider_protocol.KEY and key not in self.keys:
            return Handling.UNKNOWN_KEY
        return dict(self.routes)[route] if route else SERVICES[0]

    def document(self, version: int) -> Document:
        """Returns the document of a version."""
        document: Document = copy.deepcopy(local_cluster.DOCUMENT)
        document["version"] = version
        timeout = {"timeout_ms": self.timeout_ms}
        document["routes"] += [_route("keyed", KEYED_PATH, SERVICES[0])]
        document["routes"] += [
            {**_route(name, path_of(name), service), **timeout}
            for name, service in self.routes
        ]
        for route in document["routes"]:
            route["target_latency_ms"] = TARGET_LATENCIES_MS.get(
                route["name"], route["target_latency_ms"]
            )
        document["limits"] = {"idle_timeout_ms": self.idle_timeout_ms}
        document["services"] += [{"name": SERVICES[1]}]
        document["services"] += [{"name": s} for s in sorted(self.services)]
        added = {"name": "added", "api_keys": sorted(self.keys)}
        document["tenants"] += [added]
        return document


def path_of(route: str) -> str:
    """Returns the path prefix of an added route; "" is the keyed one."""
    return f"/{route}/" if route else KEYED_PATH


def _route(name: str, path_prefix: str, service: str) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": provider_protocol.HOST,
        "path_prefix": path_prefix,
        "type": "idempotent",
        "timeout_ms": 20_000,
        "target_latency_ms": 500,
        "service": service,
        "max_attempts": 2,
    }


class Changes:
    """Draws one change after the other; names are never used again."""

    def __init__(self, random_: random.Random) -> None:
        self._random = random_
        self._names = self._new_names()
        #: The newest content that was drawn.
        self.content = Content()
        self.version = 0

    def next_version(self) -> int:
        """Returns a version above all others, in uneven steps."""
        self.version += self._random.randint(1, MAX_STEP)
        return self.version

    def next_content(self) -> Content:
        """Returns the newest content with one change."""
        draw = self._random.choice(
            [
                self._change_routes,
                self._change_keys,
                self._change_services,
                self._change_timeouts,
            ]
        )
        self.content = draw(self.content)
        return self.content

    def _change_routes(self, content: Content) -> Content:
        routes = list(content.routes)
        if routes and (len(routes) > MAX_ADDED or self._random.random() < 0.6):
            name, service = routes.pop(self._random.randrange(len(routes)))
            if self._random.random() < 0.5:
                others = [s for s in SERVICES if s != service]
                routes.append((name, self._random.choice(others)))
        else:
            routes.append((next(self._names), self._random.choice(SERVICES)))
        return dataclasses.replace(content, routes=tuple(routes))

    def _change_keys(self, content: Content) -> Content:
        return dataclasses.replace(content, keys=self._change(content.keys))

    def _change_services(self, content: Content) -> Content:
        services = self._change(content.services)
        return dataclasses.replace(content, services=services)

    def _change_timeouts(self, content: Content) -> Content:
        if self._random.random() < 0.5:
            timeout_ms = self._other(TIMEOUTS_MS, content.timeout_ms)
            return dataclasses.replace(content, timeout_ms=timeout_ms)
        idle_ms = self._other(IDLE_TIMEOUTS_MS, content.idle_timeout_ms)
        return dataclasses.replace(content, idle_timeout_ms=idle_ms)

    def _other(self, values: Sequence[int], current: int) -> int:
        return self._random.choice([v for v in values if v != current])

    def _change(self, names: frozenset[str]) -> frozenset[str]:
        if names and (len(names) > MAX_ADDED or self._random.random() < 0.5):
            return names - {self._random.choice(sorted(names))}
        return names | {next(self._names)}

    def _new_names(self) -> Iterator[str]:
        number = 0
        while True:
            number += 1
            yield f"n{number}"


#: Makes a valid document invalid.
Spoiler = Callable[[Document], None]
SPOILERS: Final[registry.Registry[Spoiler]] = registry.Registry("spoiler")


@SPOILERS.register("unknown-service")
def _unknown_service(document: Document) -> None:
    document["routes"].append(_route("u", "/u/", "no-such-service"))


@SPOILERS.register("same-prefix")
def _same_prefix(document: Document) -> None:
    document["routes"].append(_route("again", KEYED_PATH, SERVICES[1]))


@SPOILERS.register("zero-weights")
def _zero_weights(document: Document) -> None:
    route = _route("w", "/w/", SERVICES[0])
    del route["service"]
    route["backends"] = [{"service": s, "weight": 0} for s in SERVICES]
    document["routes"].append(route)


@SPOILERS.register("zero-timeout")
def _zero_timeout(document: Document) -> None:
    document["routes"].append({**_route("t", "/t/", "desk"), "timeout_ms": 0})


@SPOILERS.register("shared-key")
def _shared_key(document: Document) -> None:
    document["tenants"].append(
        {"name": "other", "api_keys": [provider_protocol.KEY]}
    )


@SPOILERS.register("unreadable")
def _missing_field(document: Document) -> None:
    del document["routes"][0]["path_prefix"]


def with_never_route(document: Document) -> Document:
    """Returns a document with a route that no document in force has."""
    route = _route("never", NEVER_PATH, SERVICES[0])
    return {**document, "routes": [*document["routes"], route]}


def invalid_document(
    content: Content, version: int, random_: random.Random
) -> tuple[str, bytes]:
    """Returns an invalid document and what spoils it."""
    name = random_.choice([*SPOILERS.names(), "cut-short"])
    document = with_never_route(content.document(version))
    if name == "cut-short":
        return name, json.dumps(document).encode()[:-20]
    SPOILERS.get(name)(document)
    return name, json.dumps(document).encode()
