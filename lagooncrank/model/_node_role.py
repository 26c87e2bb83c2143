"""Roles of nodes."""

import enum


class NodeRole(enum.StrEnum):
    """Role of a node."""

    #: Accepts requests from callers.
    ENTRY = "entry"
    #: Votes on the shared state; needs a data folder.
    CONTROL = "control"
