"""What must hold after every step, whatever failed."""

from lagooncrank import model
from lagooncrank.core import consensus
from lagooncrank.core import state
from lagooncrank.core.consensus.tests import world as worlds


class Invariants:
    """Checks a world and remembers what must not change."""

    def __init__(self, world: worlds.World) -> None:
        self._world = world
        self._leaders: dict[int, consensus.Voter] = {}
        self._committed: dict[int, consensus.Entry] = {}
        self._states: dict[int, bytes] = {}
        self._seen: dict[tuple[model.NodeId, int], tuple[int, int, int]] = {}

    def check(self) -> None:
        """Raises AssertionError when something does not hold."""
        self._check_leaders()
        for host in self._world.hosts.values():
            if host.up:
                self._check_applied(host)
        self._check_leader_logs()
        self._check_calls()

    def check_settled(self) -> None:
        """Checks a world in which every fault has ended."""
        hosts = list(self._world.hosts.values())
        leaders = [h for h in hosts if h.participant.has_leader_lease(h.now_ms)]
        assert len(leaders) == 1, "no leader, though every fault ended"
        states = {h.applier.snapshot() for h in hosts}
        assert len(states) == 1, "states differ, though every fault ended"
        for host in hosts:
            age_ms = host.participant.contact_age_ms(host.now_ms)
            assert age_ms is not None
            assert age_ms < 2_000, "no quorum contact"

    def _check_leaders(self) -> None:
        holding = 0
        for host in self._world.hosts.values():
            if host.node is None or host.disk is None or not host.up:
                continue
            status = host.node.status
            if status.role is consensus.Role.LEADER:
                first = self._leaders.setdefault(status.term, host.disk.voter)
                assert first == host.disk.voter, f"two leaders of {status.term}"
            holding += host.participant.has_leader_lease(host.now_ms)
        assert holding <= 1, "two nodes hold the leader lease"

    def _check_applied(self, host: worlds.Host) -> None:
        for entry in host.applier.trace:
            first = self._committed.setdefault(entry.index, entry)
            assert first == entry, f"committed entry {entry.index} changed"
            if entry.proposal is not None:
                refused = entry.proposal in self._world.refused
                assert not refused, "a refused proposal committed"
        host.applier.trace.clear()
        index = host.applier.machine.applied_index
        life = (host.node_id, host.incarnation)
        if index != self._seen.get(life, (0, 0, 0))[0]:
            held = host.applier.snapshot()
            assert self._states.setdefault(index, held) == held, "states differ"
        now = (index, host.applier.revision, host.participant.term)
        before = self._seen.get(life, (0, 0, 0))
        assert all(a >= b for a, b in zip(now, before, strict=True)), "back"
        self._seen[life] = now

    def _check_leader_logs(self) -> None:
        """A leader of the newest term holds every committed entry."""
        if not self._leaders or not self._committed:
            return
        newest = max(self._leaders)
        for host in self._world.hosts.values():
            node = host.node
            if node is None or not host.up:
                continue
            status = node.status
            if status.role is consensus.Role.LEADER and status.term == newest:
                assert status.last_index >= max(self._committed), "entry lost"

    def _check_calls(self) -> None:
        world = self._world
        for call, owners in world.sent.items():
            assert len(owners) == 1, f"call {call.key} ran twice"
            assert owners[0] not in world.told_not_run, "not_run call ran"
            self._check_record(call, owners[0])

    def _check_record(
        self, call: state.CallKey, owner: state.CallOwner
    ) -> None:
        for host in self._world.hosts.values():
            record = host.applier.machine.call(call)
            if record is not None and record.state is state.CallState.NOT_RUN:
                assert record.owner != owner, "a run call is not_run"


def run_checked(
    world: worlds.World, checks: Invariants, duration_ms: int
) -> None:
    """Runs a world and checks it after each step."""
    for _ in range(0, duration_ms, worlds.STEP_MS):
        world.run(worlds.STEP_MS)
        checks.check()
