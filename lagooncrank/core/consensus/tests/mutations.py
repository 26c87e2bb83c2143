"""Mutations that each remove one safeguard, to verify that tests detect it."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any
from unittest import mock

from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core.consensus import _follower_role
from lagooncrank.core.consensus import _leader_role
from lagooncrank.core.consensus import _log
from lagooncrank.core.consensus import _node_state
from lagooncrank.core.consensus import _polling
from lagooncrank.core.consensus import _proposals
from lagooncrank.core.consensus.tests import node_cluster
from lagooncrank.core.consensus.tests import simulated_cluster
from lagooncrank.core.state import _ledger

_write = node_cluster.Disk.write


def _write_without_vote(
    disk: node_cluster.Disk, output: consensus.Output
) -> None:
    hard_state = output.hard_state
    if hard_state is not None:
        hard_state = consensus.HardState(hard_state.term)
    changed = consensus.Output(
        hard_state, output.snapshot, output.entries, (), (), ()
    )
    _write(disk, changed)


def _disk_with_old_identity(
    _: simulated_cluster.SimulatedCluster, node_id: Any
) -> node_cluster.Disk:
    return node_cluster.Disk(consensus.Voter(node_id, "same"))


def _advance_without_quorum(leader_role: _leader_role.LeaderRole) -> None:
    state = leader_role._state
    state.commit_index = state.log.last_index


def _confirm_all(
    reads: _polling.PendingReads, contact: object, applied_index: int
) -> tuple[int, ...]:
    confirmed = tuple(reads._pending)
    reads._pending.clear()
    return confirmed


def _settle_as_refused(
    proposals: _proposals.PendingProposals, proposal: consensus.ProposalId
) -> consensus.SettledProposal:
    proposals._pending.pop(proposal)
    return consensus.SettledProposal(proposal, results.ResultCode.NO_QUORUM)


def _constant(value: object) -> Callable[..., object]:
    return lambda *_, **__: value


#: Mutations found by random faults: target, attribute and replacement.
MUTATIONS: dict[str, tuple[object, str, object]] = {
    "no_sync_before_replies": (node_cluster.Disk, "sync", _constant(None)),
    "commit_without_quorum": (
        _leader_role.LeaderRole,
        "_advance_commit_index",
        _advance_without_quorum,
    ),
    "entries_accepted_without_log_match": (
        _follower_role.FollowerRole,
        "_matches_log",
        _constant(True),
    ),
    "reads_not_confirmed": (
        _polling.PendingReads,
        "take_confirmed",
        _confirm_all,
    ),
    "lost_proposal_reported_as_refused": (
        _proposals.PendingProposals,
        "_settle_as_failed",
        _settle_as_refused,
    ),
    "reserved_call_reserved_again": (
        _ledger,
        "_refuse_reservation",
        _constant(None),
    ),
}

#: Mutations that random faults rarely detect; each has its own test.
TARGETED_MUTATIONS: dict[str, tuple[object, str, object]] = {
    "replaced_disk_keeps_its_voter_identity": (
        simulated_cluster.SimulatedCluster,
        "new_disk",
        _disk_with_old_identity,
    ),
    "candidate_may_lack_entries": (
        _log.Log,
        "is_candidate_up_to_date",
        _constant(True),
    ),
    "lease_without_quorum": (
        _leader_role.LeaderRole,
        "has_leader_lease",
        _constant(True),
    ),
    "vote_not_stored": (node_cluster.Disk, "write", _write_without_vote),
    "own_standstill_taken_for_silence": (
        _node_state.NodeState,
        "observed_ms",
        lambda _, now_ms: now_ms,
    ),
    "possible_leader_lease_ignored": (
        _node_state.NodeState,
        "may_have_live_leader",
        _constant(False),
    ),
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """Applies a mutation for the duration of the block."""
    target, attribute, replacement = (MUTATIONS | TARGETED_MUTATIONS)[name]
    with mock.patch.object(target, attribute, replacement):
        yield
