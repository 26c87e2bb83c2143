import types
from typing import Any
from typing import cast

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.server.seeded import _voter_watch

A, B, C = (consensus.Voter(model.NodeId(n), f"{n}-disk-1") for n in "abc")


def test_each_voter_set_is_logged_once() -> None:
    shared = types.SimpleNamespace(voters=None)
    lines: list[tuple[Any, Any, Any]] = []
    log = types.SimpleNamespace(
        write=lambda event, voters, learners: lines.append(
            (event, voters, learners)
        )
    )
    watch = _voter_watch.VoterWatch(cast(Any, shared), cast(Any, log))
    watch.check()
    for voters in (
        consensus.VoterSet((A, B), (C,)),
        consensus.VoterSet((A, B, C)),
    ):
        shared.voters = voters
        watch.check()
        watch.check()
    assert lines == [
        (decisions.Event.VOTERS, ["a/a-disk", "b/b-disk"], ["c/c-disk"]),
        (decisions.Event.VOTERS, ["a/a-disk", "b/b-disk", "c/c-disk"], []),
    ]
