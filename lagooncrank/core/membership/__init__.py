"""Announcements, leases, leaving and views."""

from lagooncrank.core.membership._table import MembershipTable
from lagooncrank.core.membership._types import AnnouncementDelta
from lagooncrank.core.membership._types import Member
from lagooncrank.core.membership._types import Membership

__all__ = [
    "AnnouncementDelta",
    "Member",
    "Membership",
    "MembershipTable",
]
