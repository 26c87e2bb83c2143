"""Process settings and declarations, read from YAML and checked."""

from lagooncrank.settings._checks import check_declarations
from lagooncrank.settings._checks import Problem
from lagooncrank.settings._process import LimitSettings
from lagooncrank.settings._process import PeerSettings
from lagooncrank.settings._process import ProcessSettings
from lagooncrank.settings._process import Role
from lagooncrank.settings._yaml import load_process_settings
from lagooncrank.settings._yaml import parse
from lagooncrank.settings._yaml import parse_declarations
from lagooncrank.settings._yaml import SettingsError

__all__ = [
    "LimitSettings",
    "PeerSettings",
    "Problem",
    "ProcessSettings",
    "Role",
    "SettingsError",
    "check_declarations",
    "load_process_settings",
    "parse",
    "parse_declarations",
]
