"""Membership: which nodes live and which targets take calls."""

from guavawing.membership.gossip import Gossip
from guavawing.membership.member import Member, MemberState
from guavawing.membership.message import Datagram, Notice, Send
from guavawing.membership.table import MemberTable

__all__ = [
    "Datagram",
    "Gossip",
    "Member",
    "MemberState",
    "MemberTable",
    "Notice",
    "Send",
]
