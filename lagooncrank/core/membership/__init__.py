"""Membership of backend servers, by their announcements and leases."""

from lagooncrank.core.membership._table import MembershipTable
from lagooncrank.core.membership._types import AgedAnnouncement
from lagooncrank.core.membership._types import AnnouncementDelta
from lagooncrank.core.membership._types import Member
from lagooncrank.core.membership._types import Membership
from lagooncrank.core.membership._types import RenewalColumns

__all__ = [
    "AgedAnnouncement",
    "AnnouncementDelta",
    "Member",
    "Membership",
    "MembershipTable",
    "RenewalColumns",
]
