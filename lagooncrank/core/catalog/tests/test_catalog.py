"""Look-ups against a naive scan, and each fault of a plan."""

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
        (model.Split(SERVICE, weight),),
    )


def plan(*routes: model.Route) -> model.Plan:
    return model.Plan(1, routes, (model.ServicePlan(SERVICE, "/healthz", 10),))


PREFIXES = strategies.sampled_from(["/", "/a/", "/a/b/", "/b/", "/a/b/c/"])
PATHS = strategies.text(alphabet="ab/", max_size=8).map(lambda t: "/" + t)


@hypothesis.given(strategies.sets(PREFIXES), PATHS)
def test_longest_prefix_wins_as_in_a_naive_scan(
    prefixes: set[str], path: str
) -> None:
    routes = [route(p, "h", p) for p in prefixes]
    matching = [r for r in routes if path.startswith(r.path_prefix)]
    naive = max(matching, key=lambda r: len(r.path_prefix), default=None)
    assert catalog.Catalog(plan(*routes)).find_route("h", path) == naive


def test_host_is_matched_without_case_and_alone() -> None:
    found = catalog.Catalog(plan(route("r", "H.example", "/")))
    assert found.find_route("h.EXAMPLE", "/x") is not None
    assert found.find_route("other.example", "/x") is None


GOOD = route("good", "h", "/a/")


@pytest.mark.parametrize(
    ("bad", "word"),
    [
        (dataclasses.replace(GOOD, splits=()), "add up to 0"),
        (route("r", "h", "/x/", weight=0), "add up to 0"),
        (dataclasses.replace(GOOD, timeout_ms=0), "timeout_ms"),
        (
            dataclasses.replace(
                GOOD, splits=(model.Split(model.ServiceName("no"), 1.0),)
            ),
            "unknown service",
        ),
    ],
)
def test_fault_of_a_route_is_named(bad: model.Route, word: str) -> None:
    problems = list(catalog.find_problems(plan(bad)))
    assert any(word in problem for problem in problems), problems


def test_shared_place_and_shared_key_are_faults() -> None:
    twice = plan(GOOD, dataclasses.replace(GOOD, name="second"))
    assert any("host and prefix" in p for p in catalog.find_problems(twice))
    accounts = tuple(
        model.AccountPlan(model.ClientAccountId(n), ("same",))
        for n in ("one", "two")
    )
    shared = dataclasses.replace(plan(GOOD), accounts=accounts)
    assert any("share a key" in p for p in catalog.find_problems(shared))


def test_key_names_its_account() -> None:
    account = model.AccountPlan(model.ClientAccountId("one"), ("k1", "k2"))
    found = catalog.Catalog(
        dataclasses.replace(plan(GOOD), accounts=(account,))
    )
    assert found.requires_keys
    assert found.find_account("k2") == account
    assert found.find_account("k3") is None
    assert found.find_account(None) is None
