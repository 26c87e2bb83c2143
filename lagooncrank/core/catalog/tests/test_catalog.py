"""Compares look-ups with a naive scan; checks that problems are reported."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from lagooncrank import model
from lagooncrank.core import catalog

SERVICE = model.ServiceName("desk")


def route(
    name: str, host: str, prefix: str, weight: float = 1.0
) -> model.Route:
    return model.Route(
        name,
        host,
        prefix,
        model.RequestKind.IDEMPOTENT,
        1_000,
        100,
        (model.TrafficSplit(SERVICE, weight),),
    )


def serving_config(*routes: model.Route) -> model.ServingConfig:
    return model.ServingConfig(
        1, routes, (model.ServiceConfig(SERVICE, "/healthz", 10),)
    )


PREFIXES = strategies.sampled_from(["/", "/a/", "/a/b/", "/b/", "/a/b/c/"])
PATHS = strategies.text(alphabet="ab/", max_size=8).map(lambda t: "/" + t)


@hypothesis.given(strategies.sets(PREFIXES), PATHS)
def test_longest_prefix_wins_as_in_a_naive_scan(
    prefixes: set[str], path: str
) -> None:
    routes = [route(p, "h", p) for p in prefixes]
    matching = [r for r in routes if path.startswith(r.path_prefix)]
    expected = max(matching, key=lambda r: len(r.path_prefix), default=None)
    assert (
        catalog.Catalog(serving_config(*routes)).find_route("h", path)
        == expected
    )


def test_host_match_is_case_insensitive_and_exact() -> None:
    index = catalog.Catalog(serving_config(route("r", "H.example", "/")))
    assert index.find_route("h.EXAMPLE", "/x") is not None
    assert index.find_route("other.example", "/x") is None


VALID = route("good", "h", "/a/")


@pytest.mark.parametrize(
    ("invalid", "expected"),
    [
        (dataclasses.replace(VALID, splits=()), "add up to 0"),
        (route("r", "h", "/x/", weight=0), "add up to 0"),
        (dataclasses.replace(VALID, timeout_ms=0), "timeout_ms"),
        (
            dataclasses.replace(
                VALID,
                splits=(model.TrafficSplit(model.ServiceName("no"), 1.0),),
            ),
            "unknown service",
        ),
    ],
)
def test_invalid_route_is_reported(invalid: model.Route, expected: str) -> None:
    problems = list(catalog.find_problems(serving_config(invalid)))
    assert any(expected in problem for problem in problems), problems


def test_duplicate_route_and_shared_key_are_reported() -> None:
    duplicated = serving_config(
        VALID, dataclasses.replace(VALID, name="second")
    )
    assert any(
        "host and prefix" in p for p in catalog.find_problems(duplicated)
    )
    accounts = tuple(
        model.AccountConfig(model.ClientAccountId(n), ("same",))
        for n in ("one", "two")
    )
    shared = dataclasses.replace(serving_config(VALID), accounts=accounts)
    assert any("share a key" in p for p in catalog.find_problems(shared))


def test_key_identifies_its_account() -> None:
    account = model.AccountConfig(model.ClientAccountId("one"), ("k1", "k2"))
    index = catalog.Catalog(
        dataclasses.replace(serving_config(VALID), accounts=(account,))
    )
    assert index.requires_keys
    assert index.find_account("k2") == account
    assert index.find_account("k3") is None
    assert index.find_account(None) is None
