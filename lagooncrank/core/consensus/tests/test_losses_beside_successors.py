"""Machines that are lost for good beside successors that have caught up."""

from lagooncrank.core.consensus.tests import invariants
from lagooncrank.core.consensus.tests import test_returning_voters as base

#: Time between the two losses.
GAP_MS = 2_000


# Guards against: two voters lost within the time that it takes to replace one
# leave no majority, though two learners could vote.
def test_two_losses_beside_two_successors_are_tolerated() -> None:
    cluster, checks = base.with_successors(2)
    invariants.run_checked(cluster, checks, 4_000)
    for host in base.followers(cluster):
        base.lose(host)
        invariants.run_checked(cluster, checks, GAP_MS)
    invariants.run_checked(cluster, checks, 2 * base.REPLACED_AFTER_MS)
    base.assert_takes_writes(cluster, checks)
