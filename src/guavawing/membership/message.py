"""Messages and actions of the membership machine."""

import attrs

from guavawing.membership.member import Member, MemberState
from guavawing.model import Address, MemberId

__all__ = [
    "CLAIM_OVERHEAD_BYTES",
    "ELSEWHERE",
    "MAX_DATAGRAM_BYTES",
    "Ack",
    "Body",
    "Claim",
    "Datagram",
    "Nack",
    "Notice",
    "Ping",
    "PingRequest",
    "Push",
    "Send",
    "SummaryAge",
    "SyncPage",
    "SyncRequest",
    "estimate_bytes",
]

# Fits one packet of usual links, so that a lost fragment costs nothing.
MAX_DATAGRAM_BYTES = 1_400
# Stands for all data centres but the asker's own in a `SyncRequest`.
ELSEWHERE = "."
# Upper bounds of what the codec needs beside the text of a message.
MEMBER_OVERHEAD_BYTES = 42
ADDRESS_BYTES = 8
IPV6_ADDRESS_BYTES = 20
CLAIM_OVERHEAD_BYTES = 32
AGE_OVERHEAD_BYTES = 12


@attrs.frozen
class Notice:
    """The version that a member enforces; version 0 stands for none.

    Attributes:
        version: Number of the version.
        digest: SHA-256 digest of the document.
    """

    version: int
    digest: bytes


@attrs.frozen
class Claim:
    """What one member says of the life of another.

    Attributes:
        subject: Member that the claim is about.
        incarnation: Incarnation of the subject's record.
        sequence: Sequence of the subject's record.
        state: `SUSPECT`, `DEAD` or `LEFT`.
        accuser: Member that made the claim first.
    """

    subject: MemberId
    incarnation: int
    sequence: int
    state: MemberState
    accuser: MemberId

    def version(self) -> tuple[int, int]:
        """Returns the version of the record that the claim is about."""
        return (self.incarnation, self.sequence)


@attrs.frozen
class SummaryAge:
    """Age of the summary of another data centre, in milliseconds."""

    data_centre: str
    age_ms: int


@attrs.frozen
class Ping:
    """Asks `subject` to acknowledge `number` to the address `reply_to`."""

    number: int
    subject: MemberId
    reply_to: Address


@attrs.frozen
class PingRequest:
    """Asks a helper to probe `subject` at `address`."""

    number: int
    subject: MemberId
    address: Address
    reply_to: Address


@attrs.frozen
class Ack:
    """Acknowledges the probe `number`."""

    number: int
    subject: MemberId


@attrs.frozen
class Nack:
    """Tells that the helper lives but has no answer from the subject yet."""

    number: int
    subject: MemberId


@attrs.frozen
class Push:
    """Carries updates and the notice, and wants no answer."""


@attrs.frozen
class SyncRequest:
    """Asks for the records of a data centre from a position on.

    Attributes:
        data_centre: Data centre whose records are wanted, or `ELSEWHERE`.
        cursor: Position of the first record wanted.
        digests: Digests of the asker's records by bucket; empty if the asker
            wants every record.
        reply_to: Where the page goes.
    """

    data_centre: str
    cursor: int
    digests: tuple[int, ...]
    reply_to: Address


@attrs.frozen
class SyncPage:
    """Answers a `SyncRequest`; the records travel beside it.

    Attributes:
        data_centre: Data centre of the records.
        next_cursor: Position of the next page; 0 after the last one.
    """

    data_centre: str
    next_cursor: int


Body = Ping | PingRequest | Ack | Nack | Push | SyncRequest | SyncPage


@attrs.frozen
class Datagram:
    """One message between members.

    Attributes:
        sender: Id of the sender.
        body: What the message is for.
        notice: Version that the sender enforces.
        records: Records that the sender passes on, `ALIVE` or `LEFT`.
        claims: Claims that the sender passes on.
        ages: Ages of summaries that the sender passes on.
    """

    sender: MemberId
    body: Body
    notice: Notice
    records: tuple[Member, ...] = ()
    claims: tuple[Claim, ...] = ()
    ages: tuple[SummaryAge, ...] = ()


@attrs.frozen
class Send:
    """Action: send a datagram to an address."""

    address: Address
    datagram: Datagram


def estimate_bytes(update: Member | Claim | SummaryAge) -> int:
    """Returns an upper bound of the bytes of an update in a datagram."""
    match update:
        case Member():
            text = update.id + update.data_centre + update.region
            size = MEMBER_OVERHEAD_BYTES + len(text) + len(update.service)
            places = update.listeners
            for place in (places.mesh, places.control, places.admin):
                wide = ":" in (place.host or update.host)
                size += IPV6_ADDRESS_BYTES if wide else ADDRESS_BYTES
            return size
        case Claim():
            names = len(update.subject) + len(update.accuser)
            return CLAIM_OVERHEAD_BYTES + names
        case SummaryAge():
            return AGE_OVERHEAD_BYTES + len(update.data_centre)
