"""Compares the operators' page with the daemon's statuses and metrics."""

import pathlib
import re

import prometheus_client

from lagooncrank import results
from lagooncrank.server import _main
from lagooncrank.server import _metrics
from lagooncrank.server.seeded import _loop_watch

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def metric_names() -> set[str]:
    families = [
        *_metrics.Metrics().registry.collect(),
        # Only modules that are imported export their metrics there.
        *prometheus_client.REGISTRY.collect(),
    ]
    assert _loop_watch.LOGGED_LAG_MS
    return {
        f"{family.name}_total" if family.type == "counter" else family.name
        for family in families
        if family.name.startswith("lagooncrank_")
    }


def test_page_lists_every_exit_status() -> None:
    rows = re.findall(r"^\| (\d) \| ([A-Z_]+) \|", PAGE.read_text(), re.M)
    for status in _main.ExitStatus:
        assert (str(status.value), status.name) in rows


def test_page_lists_exactly_the_exported_metrics() -> None:
    listed = re.findall(r"^\| `(lagooncrank_\w+)`", PAGE.read_text(), re.M)
    assert set(listed) == metric_names()


def test_page_names_only_existing_result_codes() -> None:
    named = set(re.findall(r"`([A-Z]+(?:_[A-Z]+)+)`", PAGE.read_text()))
    assert named
    assert named <= {code.name for code in results.ResultCode}
