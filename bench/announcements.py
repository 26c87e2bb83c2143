"""Measures an entry's cost of exchanging announcements with other entries.

Several entries exchange announcements in memory on a manual clock. Each
backend server sends an announcement to two entries once per second. The results
per entry and second are bytes sent as CBOR, messages sent, and processor time
for sending and receiving.

Run: python -m bench.announcements
"""

from collections.abc import Iterator
import dataclasses
import itertools
import json
import pathlib
import time

from lagooncrank import clock
from lagooncrank import model
from lagooncrank.core import membership

RESULTS = pathlib.Path(__file__).parent / "results" / "announcements.json"
EXCHANGE_INTERVAL_MS = 250
ANNOUNCE_INTERVAL_MS = 1_000
WARM_UP_MS = 3_000
MEASURED_MS = 10_000
#: Numbers of entries and backend servers of each run.
SIZES = ((3, 50), (9, 50), (9, 200), (20, 200), (41, 200), (82, 200))
NS_PER_US = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Cost per entry and second in one run."""

    entries: int
    backend_servers: int
    sent_bytes_per_s: float
    messages_per_s: float
    cpu_us_per_s: float


@dataclasses.dataclass(slots=True)
class _Totals:
    sent_bytes: int = 0
    messages: int = 0
    cpu_ns: int = 0


def announcement(index: int, sequence: int) -> model.Announcement:
    """Returns an announcement of one backend server under load."""
    domain = f"domain-{index % 3}"
    loaded = model.LoadedModel(
        service=model.ServiceName("drafts"),
        replica_id=model.ReplicaId(f"drafts-{index // 4}"),
        version="v3",
        fencing_number=index // 4,
        ready=True,
    )
    load = model.LoadReport(
        running=(index + sequence) % 40,
        queued=sequence % 5,
        kv_used_fraction=(index * sequence % 100) / 100,
        tokens_per_s=900.0 + index + sequence,
        age_ms=sequence % 200,
    )
    return model.Announcement(
        backend_server_id=model.BackendServerId(f"engine-{index:04d}"),
        address=f"127.0.{index // 250}.{index % 250}:9000",
        instance_id=model.InstanceId(f"instance-{index:04d}"),
        failure_domain_id=model.FailureDomainId(domain),
        fabric_domain_id=model.FabricDomainId(f"{domain}-fabric-{index % 4}"),
        kind=model.BackendServerKind.MODEL_ENGINE,
        incarnation=1_700_000_000_000 + index,
        sequence=sequence,
        accelerators=8,
        loaded=loaded,
        load=load,
    )


class Exchange:
    """Simulated entries that exchange the announcements of backend servers.

    Args:
        entries: Number of entries.
        backend_servers: Number of backend servers.
    """

    def __init__(self, entries: int, backend_servers: int) -> None:
        self._clock = clock.ManualClock()
        self._backend_servers = backend_servers
        self._tables = {
            node_id: membership.MembershipTable(node_id, 1, model.LeaseRules())
            for node_id in map(_node_id, range(entries))
        }

    def run(self) -> Row:
        """Returns the cost per entry and second after a warm-up."""
        list(self._steps(WARM_UP_MS))
        totals = _Totals()
        for sent_bytes, cpu_ns in self._steps(MEASURED_MS):
            totals.sent_bytes += sent_bytes
            totals.messages += 1
            totals.cpu_ns += cpu_ns
        divisor = len(self._tables) * MEASURED_MS / 1_000
        return Row(
            entries=len(self._tables),
            backend_servers=self._backend_servers,
            sent_bytes_per_s=totals.sent_bytes / divisor,
            messages_per_s=totals.messages / divisor,
            cpu_us_per_s=totals.cpu_ns / NS_PER_US / divisor,
        )

    def _steps(self, duration_ms: int) -> Iterator[tuple[int, int]]:
        """Yields bytes and processor time of each message that is sent."""
        for _ in range(duration_ms // EXCHANGE_INTERVAL_MS):
            self._announce_servers()
            for sender, receiver in itertools.permutations(self._tables, 2):
                start_ns = time.process_time_ns()
                sent_bytes = self._send_delta(sender, receiver)
                if sent_bytes:
                    yield sent_bytes, time.process_time_ns() - start_ns
            self._clock.advance(EXCHANGE_INTERVAL_MS)

    def _announce_servers(self) -> None:
        now_ms = self._clock.now_ms()
        tables = list(self._tables.values())
        for index in range(self._backend_servers):
            # The announcements are spread over the four quarters of a second.
            phase_ms = index % 4 * EXCHANGE_INTERVAL_MS
            if now_ms % ANNOUNCE_INTERVAL_MS != phase_ms:
                continue
            current = announcement(index, now_ms // ANNOUNCE_INTERVAL_MS)
            tables[index % len(tables)].record_announcement(current, now_ms)
            tables[(index + 1) % len(tables)].record_announcement(
                current, now_ms
            )

    def _send_delta(self, sender: model.NodeId, receiver: model.NodeId) -> int:
        now_ms = self._clock.now_ms()
        delta = self._tables[sender].delta_for(receiver, now_ms)
        if delta is None:
            return 0
        data = model.to_cbor(delta)
        received_delta = model.from_cbor(data, membership.AnnouncementDelta)
        if not self._tables[receiver].merge(received_delta, now_ms):
            self._tables[sender].reset_peer(receiver)
        return len(data)


def _node_id(index: int) -> model.NodeId:
    return model.NodeId(f"node-{index}")


def main() -> None:
    """Measures every size, prints a table and writes the results."""
    rows = [Exchange(*size).run() for size in SIZES]
    RESULTS.parent.mkdir(exist_ok=True)
    records = [dataclasses.asdict(row) for row in rows]
    RESULTS.write_text(json.dumps(records, indent=2) + "\n")
    print("| entries | backend servers | B/s sent | messages/s | CPU us/s |")
    print("| --- | --- | --- | --- | --- |")
    for row in rows:
        print(
            f"| {row.entries} | {row.backend_servers} "
            f"| {row.sent_bytes_per_s:.0f} | {row.messages_per_s:.1f} "
            f"| {row.cpu_us_per_s:.0f} |"
        )


if __name__ == "__main__":
    main()
