"""Messages and actions of the membership state machine."""

import attrs

from guavawing.membership.member import Member, MemberState
from guavawing.model import Address, MemberId

__all__ = [
    "CLAIM_OVERHEAD_BYTES",
    "MAX_DATAGRAM_BYTES",
    "OTHER_DATA_CENTRES",
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

# Fits in one packet on common links, which avoids IP fragmentation.
MAX_DATAGRAM_BYTES = 1_400
# Means all data centres except the requester's own in a `SyncRequest`.
OTHER_DATA_CENTRES = "."
# Upper bounds of the encoded size in addition to the strings of a message.
MEMBER_OVERHEAD_BYTES = 42
ADDRESS_BYTES = 8
IPV6_ADDRESS_BYTES = 20
CLAIM_OVERHEAD_BYTES = 32
AGE_OVERHEAD_BYTES = 12


@attrs.frozen
class Notice:
    """The version that a member enforces; version 0 means none.

    Attributes:
        version: Number of the version.
        digest: SHA-256 digest of the document.
    """

    version: int
    digest: bytes


@attrs.frozen
class Claim:
    """Statement of one member about the state of another.

    Attributes:
        subject: Member that the claim is about.
        incarnation: Incarnation of the subject's record.
        sequence: Sequence of the subject's record.
        state: `SUSPECT`, `DEAD` or `LEFT`.
        accuser: Member that first made the claim.
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
    """Requests an `Ack` of `number` from `subject`, sent to `reply_to`."""

    number: int
    subject: MemberId
    reply_to: Address


@attrs.frozen
class PingRequest:
    """Requests an indirect probe of `subject` at `address` by a helper."""

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
    """Sent by a helper that has no answer from the subject yet."""

    number: int
    subject: MemberId


@attrs.frozen
class Push:
    """Carries updates and the notice; needs no answer."""


@attrs.frozen
class SyncRequest:
    """Requests the records of a data centre from a position on.

    Attributes:
        data_centre: Data centre of the records, or `OTHER_DATA_CENTRES`.
        cursor: Position of the first record.
        digests: Digests of the requester's records by bucket; empty to
            request every record.
        reply_to: Address to which the page is sent.
    """

    data_centre: str
    cursor: int
    digests: tuple[int, ...]
    reply_to: Address


@attrs.frozen
class SyncPage:
    """Answers a `SyncRequest`; its records are those of the datagram.

    Attributes:
        data_centre: Data centre of the records.
        next_cursor: Position of the next page; 0 after the last one.
    """

    data_centre: str
    next_cursor: int


Body = Ping | PingRequest | Ack | Nack | Push | SyncRequest | SyncPage


@attrs.frozen
class Datagram:
    """Message between members.

    Attributes:
        sender: Id of the sender.
        body: Purpose of the message.
        notice: Version that the sender enforces.
        records: Disseminated records, `ALIVE` or `LEFT`.
        claims: Disseminated claims.
        ages: Disseminated ages of summaries.
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
    """Returns an upper bound of the encoded size of an update, in bytes."""
    match update:
        case Member():
            text = update.id + update.data_centre + update.region
            size = MEMBER_OVERHEAD_BYTES + len(text) + len(update.service)
            addresses = update.listeners
            for address in (
                addresses.mesh,
                addresses.control,
                addresses.admin,
            ):
                ipv6 = ":" in (address.host or update.host)
                size += IPV6_ADDRESS_BYTES if ipv6 else ADDRESS_BYTES
            return size
        case Claim():
            names = len(update.subject) + len(update.accuser)
            return CLAIM_OVERHEAD_BYTES + names
        case SummaryAge():
            return AGE_OVERHEAD_BYTES + len(update.data_centre)
