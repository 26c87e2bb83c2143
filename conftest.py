"""Shared pytest configuration: derandomized hypothesis and known-red tests."""

import pathlib

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

_KNOWN_RED = pathlib.Path(__file__).with_name("KNOWN-RED.txt")


def _known_red_node_ids() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {line[6:].strip() for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red = _known_red_node_ids()
    for item in items:
        if item.nodeid in known_red:
            mark = pytest.mark.xfail(reason="listed in KNOWN-RED.txt")
            item.add_marker(mark)
