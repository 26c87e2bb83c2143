"""Finds the content that crashes backend servers, from runs that broke off."""

from lagooncrank.core.crashes._accusations import Accusation
from lagooncrank.core.crashes._accusations import find_accusations
from lagooncrank.core.crashes._accusations import MIN_CRASH_INTERVAL_MS
from lagooncrank.core.crashes._accusations import MIN_CRASHES
from lagooncrank.core.crashes._evidence import CrashEvidence
from lagooncrank.core.crashes._evidence import MAX_RECORDS
from lagooncrank.core.crashes._evidence import MAX_SOUND_FEATURES
from lagooncrank.core.crashes._evidence import RECORD_TTL_MS
from lagooncrank.core.crashes._features import is_whole_request
from lagooncrank.core.crashes._features import whole_request_feature
from lagooncrank.core.crashes._trials import is_trial_due
from lagooncrank.core.crashes._trials import trial_at_ms
from lagooncrank.core.crashes._trials import TURN_MS
from lagooncrank.core.crashes._types import aged
from lagooncrank.core.crashes._types import CrashRecord
from lagooncrank.core.crashes._types import EvidenceBatch
from lagooncrank.core.crashes._types import SoundFeature

__all__ = [
    "MAX_RECORDS",
    "MAX_SOUND_FEATURES",
    "MIN_CRASHES",
    "MIN_CRASH_INTERVAL_MS",
    "RECORD_TTL_MS",
    "TURN_MS",
    "Accusation",
    "CrashEvidence",
    "CrashRecord",
    "EvidenceBatch",
    "SoundFeature",
    "aged",
    "find_accusations",
    "is_trial_due",
    "is_whole_request",
    "trial_at_ms",
    "whole_request_feature",
]
