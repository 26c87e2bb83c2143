"""What a response says about its server's readiness for new requests."""

import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class StatedAvailability:
    """What one response says; nothing by default."""

    #: Time for which the server wants no requests from this entry; None if it
    #: does not say so.
    rest_ms: int | None = None
    #: Whether the server is leaving and wants no requests any more.
    is_leaving: bool = False


#: A response that says nothing of it.
NOTHING_STATED: Final = StatedAvailability()
