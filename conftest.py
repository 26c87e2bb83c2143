"""Shared pytest configuration.

Hypothesis runs derandomized. Tests listed in `KNOWN-RED.txt` are expected to
fail; one that passes is reported as a failure, so that its entry is removed.
Those listed as `sometimes` may fail or pass: their fault depends on timing.
Entries that begin with `once` failed once and are open; they must pass.
"""

import pathlib

from aiohttp import client_proto
from aiohttp import http_parser
import hypothesis
import pytest

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
)
hypothesis.settings.load_profile("ci")

_KNOWN_FAILURES_FILE = pathlib.Path(__file__).with_name("KNOWN-RED.txt")


def _listed_node_ids(kind: str) -> set[str]:
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    prefix = f"{kind}: "
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    always = _listed_node_ids("test")
    sometimes = _listed_node_ids("sometimes")
    for item in items:
        if item.nodeid in always | sometimes:
            mark = pytest.mark.xfail(
                reason="listed in KNOWN-RED.txt", strict=item.nodeid in always
            )
            item.add_marker(mark)


@pytest.fixture(
    # The same class where the compiled parser is missing.
    params=[http_parser.HttpResponseParser, http_parser.HttpResponseParserPy],
    ids=["default", "python"],
)
def each_parser(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Lets clients use one of the parsers of the HTTP library."""
    monkeypatch.setattr(client_proto, "HttpResponseParser", request.param)
