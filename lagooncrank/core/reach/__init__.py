"""Which services an entry reaches, and which entry serves in its place."""

from lagooncrank.core.reach._delegates import choose_delegate
from lagooncrank.core.reach._delegates import MAX_DELEGATES
from lagooncrank.core.reach._detector import ReachDetector
from lagooncrank.core.reach._detector import ServiceChange
from lagooncrank.core.reach._signs import LifeSigns
from lagooncrank.core.reach._silence import SILENCE_MS
from lagooncrank.core.reach._silence import SilenceWatch

__all__ = [
    "MAX_DELEGATES",
    "SILENCE_MS",
    "LifeSigns",
    "ReachDetector",
    "ServiceChange",
    "SilenceWatch",
    "choose_delegate",
]
