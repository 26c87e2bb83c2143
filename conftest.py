"""Shared pytest configuration.

Hypothesis runs derandomized. Tests listed in `KNOWN-RED.txt` are expected to
fail; one that passes is reported as a failure, so that its entry is removed.
Entries that begin with `once` failed once and are open; they must pass.
"""

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

_KNOWN_FAILURES_FILE = pathlib.Path(__file__).with_name("KNOWN-RED.txt")


def _known_failing_node_ids() -> set[str]:
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    return {line[6:].strip() for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_failing = _known_failing_node_ids()
    for item in items:
        if item.nodeid in known_failing:
            mark = pytest.mark.xfail(
                reason="listed in KNOWN-RED.txt", strict=True
            )
            item.add_marker(mark)
