"""Ways to take one guard out of the product, to see whether tests notice."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any
from unittest import mock

from lagooncrank import results
from lagooncrank.core import consensus
from lagooncrank.core.consensus import _context
from lagooncrank.core.consensus import _following
from lagooncrank.core.consensus import _leading
from lagooncrank.core.consensus import _log
from lagooncrank.core.consensus import _polling
from lagooncrank.core.consensus import _proposals
from lagooncrank.core.consensus.tests import cluster
from lagooncrank.core.consensus.tests import world
from lagooncrank.core.state import _ledger

_write = cluster.Disk.write


def _write_without_vote(disk: cluster.Disk, output: consensus.Output) -> None:
    hard_state = output.hard_state
    if hard_state is not None:
        hard_state = consensus.HardState(hard_state.term)
    changed = consensus.Output(
        hard_state, output.snapshot, output.entries, (), (), ()
    )
    _write(disk, changed)


def _disk_with_old_identity(_: world.World, node_id: Any) -> cluster.Disk:
    return cluster.Disk(consensus.Voter(node_id, "same"))


def _advance_without_quorum(leading: _leading.Leading) -> None:
    context = leading._context
    context.commit_index = context.log.last_index


def _confirm_all(
    reads: _polling.Reads, contact: object, applied_index: int
) -> tuple[int, ...]:
    confirmed = tuple(reads._pending)
    reads._pending.clear()
    return confirmed


def _tell_refused(
    proposals: _proposals.Proposals, proposal: consensus.ProposalId
) -> consensus.SettledProposal:
    proposals._pending.pop(proposal)
    return consensus.SettledProposal(proposal, results.ResultCode.NO_QUORUM)


def _always(value: object) -> Callable[..., object]:
    return lambda *_, **__: value


#: Target, attribute and replacement of each guard that is taken out.
MUTANTS: dict[str, tuple[object, str, object]] = {
    "no_sync_before_answers": (cluster.Disk, "sync", _always(None)),
    "commit_without_quorum": (
        _leading.Leading,
        "_advance",
        _advance_without_quorum,
    ),
    "entries_taken_without_agreement": (
        _following.Following,
        "_agrees",
        _always(True),
    ),
    "reads_not_confirmed": (_polling.Reads, "take_confirmed", _confirm_all),
    "lost_proposal_told_as_refused": (
        _proposals.Proposals,
        "_give_up",
        _tell_refused,
    ),
    "reserved_call_reserved_again": (
        _ledger,
        "_refuse_reservation",
        _always(None),
    ),
}

#: Guards whose lack chance seldom shows; each has a test of its own.
RARELY_MET: dict[str, tuple[object, str, object]] = {
    "replaced_disk_votes_as_before": (
        world.World,
        "new_disk",
        _disk_with_old_identity,
    ),
    "candidate_may_lack_entries": (_log.Log, "is_behind", _always(True)),
    "lease_without_quorum": (
        _leading.Leading,
        "has_leader_lease",
        _always(True),
    ),
    "vote_not_stored": (cluster.Disk, "write", _write_without_vote),
    "promise_to_the_leader_ignored": (
        _context.Context,
        "is_promised",
        _always(False),
    ),
}


@contextlib.contextmanager
def without(name: str) -> Iterator[None]:
    """Runs the block with one guard taken out."""
    target, attribute, replacement = (MUTANTS | RARELY_MET)[name]
    with mock.patch.object(target, attribute, replacement):
        yield
