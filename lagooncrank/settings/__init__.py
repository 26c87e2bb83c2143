"""Process settings and declarations, read and validated from YAML."""

from lagooncrank.settings._declaration_checks import check_declarations
from lagooncrank.settings._formats import is_address
from lagooncrank.settings._formats import is_ip
from lagooncrank.settings._formats import is_key_digest
from lagooncrank.settings._formats import is_name
from lagooncrank.settings._formats import MAX_PORT
from lagooncrank.settings._formats import NAME_RULE
from lagooncrank.settings._problems import Problem
from lagooncrank.settings._problems import SettingsError
from lagooncrank.settings._process import LimitSettings
from lagooncrank.settings._process import PeerSettings
from lagooncrank.settings._process import PolicySettings
from lagooncrank.settings._process import ProcessSettings
from lagooncrank.settings._process import Role
from lagooncrank.settings._process_checks import check_process_settings
from lagooncrank.settings._schema import check_schema
from lagooncrank.settings._seeded import FleetTiming
from lagooncrank.settings._seeded import ListenSettings
from lagooncrank.settings._seeded import LoadSettings
from lagooncrank.settings._seeded import SeededSettings
from lagooncrank.settings._shared_key import load_shared_key
from lagooncrank.settings._yaml import load
from lagooncrank.settings._yaml import load_declarations
from lagooncrank.settings._yaml import load_process_settings
from lagooncrank.settings._yaml import parse
from lagooncrank.settings._yaml import parse_declarations
from lagooncrank.settings._yaml import parse_process_settings

__all__ = [
    "MAX_PORT",
    "NAME_RULE",
    "FleetTiming",
    "LimitSettings",
    "ListenSettings",
    "LoadSettings",
    "PeerSettings",
    "PolicySettings",
    "Problem",
    "ProcessSettings",
    "Role",
    "SeededSettings",
    "SettingsError",
    "check_declarations",
    "check_process_settings",
    "check_schema",
    "is_address",
    "is_ip",
    "is_key_digest",
    "is_name",
    "load",
    "load_declarations",
    "load_process_settings",
    "load_shared_key",
    "parse",
    "parse_declarations",
    "parse_process_settings",
]
