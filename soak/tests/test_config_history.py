"""The checks of changes."""

import itertools
import json
import random

import pytest

from soak import _config_history
from soak import _documents

NONE = _documents.Handling.UNKNOWN_ROUTE
NO_KEY = _documents.Handling.UNKNOWN_KEY


def history() -> _config_history.ConfigHistory:
    """Version 1 adds a route; 2 moves it; 3 removes it, without an ack."""
    recorded = _config_history.ConfigHistory(_config_history.ConfigRules())
    contents = [
        _documents.Content((("r", "desk"),), keys=frozenset({"k"})),
        _documents.Content((("r", "annex"),)),
        _documents.Content(),
    ]
    for version, content in enumerate(contents, start=1):
        recorded.record_sent(version, content, version * 10.0)
    recorded.record_ack(1, 11.0)
    recorded.record_ack(2, 21.0)
    return recorded


def probe(
    sent_s: float,
    handling: str | _documents.Handling,
    *,
    is_in_touch: bool = True,
    boot: int = 1,
    key: str = "secret",
) -> _config_history.Probe:
    return _config_history.Probe(
        "e1", boot, sent_s, sent_s + 0.1, "r", key, handling, is_in_touch
    )


# Guards against: an older document in force after a newer one was confirmed.
@pytest.mark.parametrize(
    ("probes", "is_violation"),
    [
        pytest.param([probe(15, "desk")], False, id="in-force"),
        pytest.param([probe(22, "desk")], False, id="within-the-bound"),
        pytest.param([probe(23.1, "desk")], True, id="too-old"),
        pytest.param(
            [probe(23.1, "desk", is_in_touch=False)], False, id="not-in-touch"
        ),
        pytest.param([probe(24, "annex")], False, id="newest"),
        pytest.param([probe(24, NONE)], True, id="removal-not-sent-yet"),
        pytest.param([probe(31, NONE)], False, id="unclear-in-force"),
        pytest.param([probe(35, "annex")], False, id="unclear-not-in-force"),
        pytest.param([probe(15, "writers")], True, id="never-that-service"),
        pytest.param([probe(15, NO_KEY)], True, id="key-never-unknown"),
        pytest.param(
            [probe(21, "annex"), probe(21.3, "desk")], False, id="slack"
        ),
        pytest.param(
            [probe(21, "annex"), probe(21.5, "desk")], True, id="older"
        ),
        pytest.param(
            [probe(21, "annex"), probe(21.5, "desk", boot=2)],
            False,
            id="older-in-another-boot",
        ),
        pytest.param(
            [
                probe(31, NONE, is_in_touch=False),
                probe(34, "annex", is_in_touch=False),
            ],
            True,
            id="older-than-unclear-one",
        ),
    ],
)
def test_probes_of_a_route(
    probes: list[_config_history.Probe], is_violation: bool
) -> None:
    recorded = history()
    found = [v for p in probes for v in recorded.record_probe(p)]
    assert bool(found) is is_violation


def test_documents_that_are_read_back() -> None:
    recorded = history()
    newest = _documents.Content((("r", "annex"),)).document(2)
    assert not list(recorded.record_read(22.0, newest))
    old = _documents.Content((("r", "desk"),), keys=frozenset({"k"}))
    assert list(recorded.record_read(22.0, old.document(1)))
    assert not list(recorded.record_read(20.5, old.document(1)))
    assert list(recorded.record_read(22.0, old.document(2)))
    assert list(recorded.record_read(22.0, old.document(9)))


@pytest.mark.parametrize(("served", "is_violation"), [(4, True), (5, False)])
def test_added_routes_are_served_like_the_others(
    served: int, is_violation: bool
) -> None:
    recorded = history()
    for number in range(20):
        recorded.record_rate(is_added=False, is_served=True)
        recorded.record_rate(is_added=True, is_served=number < served)
    assert bool(list(recorded.rate_violations())) is is_violation


def test_drawn_contents_change_one_after_the_other() -> None:
    changes = _documents.Changes(random.Random(1))
    drawn = [changes.next_content() for _ in range(50)]
    versions = [changes.next_version() for _ in range(50)]
    assert all(a != b for a, b in itertools.pairwise(drawn))
    assert versions == sorted(set(versions))


@pytest.mark.parametrize("seed", range(20))
def test_invalid_documents_differ_from_valid_ones(seed: int) -> None:
    content = _documents.Content()
    random_ = random.Random(seed)
    _, spoiled = _documents.invalid_document(content, 5, random_)
    assert spoiled != json.dumps(content.document(5)).encode()
