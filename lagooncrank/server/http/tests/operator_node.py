"""A node without consensus or network, for tests of operators' handlers."""

from collections.abc import Mapping
import hashlib
from typing import Any

from aiohttp import web

from lagooncrank import clock
from lagooncrank import model
from lagooncrank import results
from lagooncrank import settings
from lagooncrank.core import membership
from lagooncrank.core import state
from lagooncrank.server import _interfaces
from lagooncrank.server import _metrics
from lagooncrank.server import _revision_reports
from lagooncrank.server.http import _app
from lagooncrank.server.http import _operators
from lagooncrank.server.http import _request_ids

OPERATOR_KEY = "operator-key"
NODES = ("n1", "n2")


class LocalState:
    """A `SharedState` without consensus: commits at once, can be isolated."""

    def __init__(self) -> None:
        self.view = state.StateMachine()
        self.is_leader = True
        self.leader = model.NodeId("n1")
        self.term = 1
        self.is_isolated = False

    def lease_holds(self) -> bool:
        return not self.is_isolated

    async def propose(
        self, command: state.Command, timeout_ms: int
    ) -> state.Outcome:
        if self.is_isolated:
            code = results.ResultCode.NO_QUORUM
            return state.Outcome(code, "no majority")
        return self.view.apply(self.view.applied_index + 1, command)

    async def confirm_read(self, timeout_ms: int) -> bool:
        return not self.is_isolated

    def on_applied(self, listener: _interfaces.AppliedListener) -> None:
        """Ignores the listener; the tests read the state through the view."""


class InProcessLinks:
    """Links between nodes in one process; messages are delivered at once."""

    def __init__(
        self, node_id: model.NodeId, network: dict[str, "InProcessLinks"]
    ) -> None:
        self.node_id = node_id
        self.network = network
        self.handlers: dict[str, Any] = {}
        self.bodies: dict[str, type] = {}
        network[node_id] = self

    def send(self, node_id: model.NodeId, kind: str, body: Any) -> None:
        if node_id in self.network:
            peer = self.network[node_id]
            received: Any = model.from_cbor(
                model.to_cbor(body), peer.bodies[kind]
            )
            peer.handlers[kind](self.node_id, received)

    def on_message(
        self, kind: str, body: type, handler: _interfaces.PeerHandler
    ) -> None:
        self.bodies[kind] = body
        self.handlers[kind] = handler

    def connected(self) -> frozenset[model.NodeId]:
        return frozenset(model.NodeId(n) for n in self.network) - {self.node_id}


class OperatorNode:
    """Node n1 with the operators' handlers, and its only peer n2."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock(start_ms=1_000)
        self.shared = LocalState()
        network: dict[str, InProcessLinks] = {}
        self.links = InProcessLinks(model.NodeId("n1"), network)
        self.peer_links = InProcessLinks(model.NodeId("n2"), network)
        self.peer_shared = LocalState()
        self.membership = membership.MembershipTable(
            model.NodeId("n1"), 1, model.LeaseRules()
        )
        self.revision_exchange = self._create_revision_exchange(
            self.links, self.shared
        )
        self.peer_revision_exchange = self._create_revision_exchange(
            self.peer_links, self.peer_shared
        )

    def _create_revision_exchange(
        self, links: InProcessLinks, shared: LocalState
    ) -> _revision_reports.RevisionExchange:
        voters = [model.NodeId("n1"), model.NodeId("n2")]
        return _revision_reports.RevisionExchange(
            links.node_id, voters, shared, links, self.clock
        )

    def app(self) -> web.Application:
        """Returns an application that has only the operators' routes."""
        handlers = _operators.OperatorHandlers(
            process_settings(),
            self.shared,
            self.links,
            self.membership,
            self.revision_exchange,
            self.clock,
        )
        return _app.build(
            [handlers],
            settings.LimitSettings(),
            _request_ids.RequestIds(model.NodeId("n1"), 1),
            _metrics.Metrics(),
        )


def process_settings() -> settings.ProcessSettings:
    """Returns the settings of node n1."""
    return settings.ProcessSettings(
        node_id=model.NodeId("n1"),
        nodes=tuple(
            settings.PeerSettings(
                model.NodeId(node_id),
                "127.0.0.1:1",
                "127.0.0.1:2",
                model.FailureDomainId(f"fd-{node_id}"),
                (settings.Role.ENTRY, settings.Role.CONTROL),
            )
            for node_id in NODES
        ),
        shared_key_file="unused",
        operator_key_sha256s=(
            hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
        ),
    )


def declarations(share: int = 3) -> Mapping[str, Any]:
    """Returns declarations of one client account, as plain JSON values."""
    account = {"name": "acme", "key_sha256s": ["0" * 64], "share": share}
    return {"client_accounts": [account]}


def replica() -> model.Replica:
    """Returns replica r1, which holds instance i1."""
    return model.Replica(
        replica_id=model.ReplicaId("r1"),
        service=model.ServiceName("s"),
        version="v",
        fabric_domain_id=model.FabricDomainId("fab1"),
        instances=(model.InstanceId("i1"),),
        backend_servers=(model.BackendServerId("b1"),),
        fencing_number=1,
    )
