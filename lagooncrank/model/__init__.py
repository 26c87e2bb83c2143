"""Data classes shared by every part, and their codec."""

from lagooncrank.model._allowance_rules import AllowanceRules
from lagooncrank.model._announcement import Announcement
from lagooncrank.model._announcement import BackendServerKind
from lagooncrank.model._announcement import BackendServerState
from lagooncrank.model._announcement import LoadedModel
from lagooncrank.model._announcement import LoadReport
from lagooncrank.model._codec import from_cbor
from lagooncrank.model._codec import from_plain
from lagooncrank.model._codec import to_cbor
from lagooncrank.model._codec import to_plain
from lagooncrank.model._declarations import ClientAccount
from lagooncrank.model._declarations import Declarations
from lagooncrank.model._declarations import LeaseRules
from lagooncrank.model._declarations import ModelService
from lagooncrank.model._declarations import PlacementRules
from lagooncrank.model._declarations import PlainService
from lagooncrank.model._declarations import RetryRules
from lagooncrank.model._declarations import WeightStoreRules
from lagooncrank.model._identity import BackendServerId
from lagooncrank.model._identity import ClientAccountId
from lagooncrank.model._identity import FabricDomainId
from lagooncrank.model._identity import FailureDomainId
from lagooncrank.model._identity import InstanceId
from lagooncrank.model._identity import NodeId
from lagooncrank.model._identity import ReplicaId
from lagooncrank.model._identity import RequestId
from lagooncrank.model._identity import ServiceName
from lagooncrank.model._node_role import NodeRole
from lagooncrank.model._plan import AccountPlan
from lagooncrank.model._plan import CallerLimits
from lagooncrank.model._plan import EngineProfile
from lagooncrank.model._plan import ModelProfile
from lagooncrank.model._plan import Plan
from lagooncrank.model._plan import RequestKind
from lagooncrank.model._plan import Route
from lagooncrank.model._plan import ServicePlan
from lagooncrank.model._plan import Split
from lagooncrank.model._replica import HOLDING_STATES
from lagooncrank.model._replica import Replica
from lagooncrank.model._replica import ReplicaState
from lagooncrank.model._server_report import Group
from lagooncrank.model._server_report import GroupMember
from lagooncrank.model._server_report import GroupPhase
from lagooncrank.model._server_report import Membership
from lagooncrank.model._server_report import MemberState
from lagooncrank.model._server_report import ServerReport
from lagooncrank.model._server_report import ServerState

__all__ = [
    "HOLDING_STATES",
    "AccountPlan",
    "AllowanceRules",
    "Announcement",
    "BackendServerId",
    "BackendServerKind",
    "BackendServerState",
    "CallerLimits",
    "ClientAccount",
    "ClientAccountId",
    "Declarations",
    "EngineProfile",
    "FabricDomainId",
    "FailureDomainId",
    "Group",
    "GroupMember",
    "GroupPhase",
    "InstanceId",
    "LeaseRules",
    "LoadReport",
    "LoadedModel",
    "MemberState",
    "Membership",
    "ModelProfile",
    "ModelService",
    "NodeId",
    "NodeRole",
    "PlacementRules",
    "PlainService",
    "Plan",
    "Replica",
    "ReplicaId",
    "ReplicaState",
    "RequestId",
    "RequestKind",
    "RetryRules",
    "Route",
    "ServerReport",
    "ServerState",
    "ServiceName",
    "ServicePlan",
    "Split",
    "WeightStoreRules",
    "from_cbor",
    "from_plain",
    "to_cbor",
    "to_plain",
]
