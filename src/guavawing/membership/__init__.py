"""Membership: which nodes are alive and which targets accept calls."""

from guavawing.membership.gossip import (
    PROBE_PERIOD_S,
    TICKS_PER_PERIOD,
    Gossip,
)
from guavawing.membership.limiter import PeerLimiter
from guavawing.membership.member import (
    MAX_INCARNATION,
    MAX_SEQUENCE,
    Listeners,
    Member,
    MemberState,
)
from guavawing.membership.message import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Body,
    Claim,
    Datagram,
    Nack,
    Notice,
    Ping,
    PingRequest,
    Push,
    Send,
    SummaryAge,
    SyncPage,
    SyncRequest,
)
from guavawing.membership.table import MAX_MEMBERS, MemberTable

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_INCARNATION",
    "MAX_MEMBERS",
    "MAX_SEQUENCE",
    "PROBE_PERIOD_S",
    "TICKS_PER_PERIOD",
    "Ack",
    "Body",
    "Claim",
    "Datagram",
    "Gossip",
    "Listeners",
    "Member",
    "MemberState",
    "MemberTable",
    "Nack",
    "Notice",
    "PeerLimiter",
    "Ping",
    "PingRequest",
    "Push",
    "Send",
    "SummaryAge",
    "SyncPage",
    "SyncRequest",
]
