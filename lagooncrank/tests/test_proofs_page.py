import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "PROOFS.md").read_text()
REFERENCED_TESTS = re.findall(
    r"`((?:core|server|cli)/[\w/]+\.py)(?:::(\w+))?`", PAGE
)


@pytest.mark.parametrize(("path", "test"), sorted(set(REFERENCED_TESTS)))
def test_referenced_test_exists(path: str, test: str) -> None:
    source = (ROOT / "lagooncrank" / path).read_text()
    assert f"def {test}(" in source if test else "def test_" in source


def test_every_promise_references_a_test() -> None:
    promises = PAGE.partition("## Promises")[2].partition("## Failures")[0]
    rows = [r for r in promises.splitlines() if r.startswith("| ")][2:]
    assert len(rows) == 8
    assert all("test_" in row.split("|")[2] for row in rows)
