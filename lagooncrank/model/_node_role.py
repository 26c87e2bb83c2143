"""What a node does."""

import enum


class NodeRole(enum.StrEnum):
    """What a node does."""

    #: Takes requests of callers.
    ENTRY = "entry"
    #: Votes on the shared state; needs a data folder.
    CONTROL = "control"
