"""Invariants that must hold after every step under any faults."""

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.core.consensus.tests import simulated_cluster as clusters


class Invariants:
    """Checks a cluster and records the facts that must not change."""

    def __init__(self, cluster: clusters.SimulatedCluster) -> None:
        self._cluster = cluster
        self._leaders: dict[int, consensus.Voter] = {}
        self._committed: dict[int, consensus.Entry] = {}
        self._states: dict[int, bytes] = {}
        #: Applied index, revision and term of each incarnation of a node.
        self._progress: dict[
            tuple[model.NodeId, int], tuple[int, int, int]
        ] = {}

    def check(self) -> None:
        """Raises AssertionError if an invariant is violated."""
        self._check_leaders()
        for host in self._cluster.hosts.values():
            if host.up:
                self._check_applied(host)
        self._check_leader_logs()
        self._check_calls()

    def check_settled(self) -> None:
        """Checks a cluster that has converged after all faults were cleared."""
        hosts = list(self._cluster.hosts.values())
        leaders = [h for h in hosts if h.participant.has_leader_lease(h.now_ms)]
        assert len(leaders) == 1, (
            "not exactly one leader after all faults were cleared"
        )
        states = {h.applier.snapshot() for h in hosts}
        assert len(states) == 1, "states differ after all faults were cleared"
        for host in hosts:
            age_ms = host.participant.contact_age_ms(host.now_ms)
            assert age_ms is not None
            assert age_ms < 2_000, "no quorum contact"

    def _check_leaders(self) -> None:
        lease_holder_count = 0
        for host in self._cluster.hosts.values():
            if host.node is None or host.disk is None or not host.up:
                continue
            status = host.node.status
            if status.role is consensus.Role.LEADER:
                first = self._leaders.setdefault(status.term, host.disk.voter)
                assert first == host.disk.voter, (
                    f"two leaders of term {status.term}"
                )
            lease_holder_count += host.participant.has_leader_lease(host.now_ms)
        assert lease_holder_count <= 1, "two nodes hold the leader lease"

    def _check_applied(self, host: clusters.Host) -> None:
        for entry in host.applier.trace:
            first = self._committed.setdefault(entry.index, entry)
            assert first == entry, f"committed entry {entry.index} changed"
            if entry.proposal is not None:
                is_refused = entry.proposal in self._cluster.refused_proposals
                assert not is_refused, "a refused proposal committed"
        host.applier.trace.clear()
        index = host.applier.machine.applied_index
        incarnation = (host.node_id, host.incarnation)
        if index != self._progress.get(incarnation, (0, 0, 0))[0]:
            snapshot = host.applier.snapshot()
            assert self._states.setdefault(index, snapshot) == snapshot, (
                "states differ"
            )
        current = (index, host.applier.revision, host.participant.term)
        previous = self._progress.get(incarnation, (0, 0, 0))
        assert all(a >= b for a, b in zip(current, previous, strict=True)), (
            "index, revision or term decreased"
        )
        self._progress[incarnation] = current

    def _check_leader_logs(self) -> None:
        """Checks that the newest leader holds every committed entry."""
        if not self._leaders or not self._committed:
            return
        newest = max(self._leaders)
        for host in self._cluster.hosts.values():
            node = host.node
            if node is None or not host.up:
                continue
            status = node.status
            if status.role is consensus.Role.LEADER and status.term == newest:
                assert status.last_index >= max(self._committed), (
                    "committed entry lost"
                )

    def _check_calls(self) -> None:
        cluster = self._cluster
        for call, owners in cluster.written_calls.items():
            assert len(owners) == 1, f"call {call.key} ran twice"
            assert owners[0] not in cluster.reported_not_run, (
                "call reported as not run was run"
            )
            self._check_record(call, owners[0])

    def _check_record(
        self, call: state.CallKey, owner: state.CallOwner
    ) -> None:
        for host in self._cluster.hosts.values():
            record = host.applier.machine.call(call)
            if record is not None and record.state is state.CallState.NOT_RUN:
                assert record.owner != owner, (
                    "call that ran is recorded as not run"
                )


def run_checked(
    cluster: clusters.SimulatedCluster, checks: Invariants, duration_ms: int
) -> None:
    """Runs a cluster and checks it after each step."""
    for _ in range(0, duration_ms, clusters.STEP_MS):
        cluster.run(clusters.STEP_MS)
        checks.check()
