"""Data classes that all packages share, and their codec."""

from lagooncrank.model._announcement import Announcement
from lagooncrank.model._announcement import BackendServerKind
from lagooncrank.model._announcement import BackendServerState
from lagooncrank.model._announcement import LoadedModel
from lagooncrank.model._announcement import LoadReport
from lagooncrank.model._codec import from_builtins
from lagooncrank.model._codec import from_cbor
from lagooncrank.model._codec import to_builtins
from lagooncrank.model._codec import to_cbor
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
from lagooncrank.model._replica import INSTANCE_HOLDING_STATES
from lagooncrank.model._replica import Replica
from lagooncrank.model._replica import ReplicaState
from lagooncrank.model._retry_budget_rules import RetryBudgetRules
from lagooncrank.model._server_report import Group
from lagooncrank.model._server_report import GroupMember
from lagooncrank.model._server_report import GroupPhase
from lagooncrank.model._server_report import Membership
from lagooncrank.model._server_report import MemberState
from lagooncrank.model._server_report import ServerReport
from lagooncrank.model._server_report import ServerState
from lagooncrank.model._serving_config import AccountConfig
from lagooncrank.model._serving_config import CallerLimits
from lagooncrank.model._serving_config import EngineProfile
from lagooncrank.model._serving_config import ModelProfile
from lagooncrank.model._serving_config import RequestKind
from lagooncrank.model._serving_config import Route
from lagooncrank.model._serving_config import ServiceConfig
from lagooncrank.model._serving_config import ServingConfig
from lagooncrank.model._serving_config import TrafficSplit

__all__ = [
    "INSTANCE_HOLDING_STATES",
    "AccountConfig",
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
    "Replica",
    "ReplicaId",
    "ReplicaState",
    "RequestId",
    "RequestKind",
    "RetryBudgetRules",
    "RetryRules",
    "Route",
    "ServerReport",
    "ServerState",
    "ServiceConfig",
    "ServiceName",
    "ServingConfig",
    "TrafficSplit",
    "WeightStoreRules",
    "from_builtins",
    "from_cbor",
    "to_builtins",
    "to_cbor",
]
