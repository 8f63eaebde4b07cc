"""Messages and actions of the membership machine."""

import attrs

from guavawing.membership.member import Member
from guavawing.model import Address, MemberId

__all__ = ["Datagram", "Notice", "Send"]


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
class Datagram:
    """One gossip message.

    Attributes:
        sender: Id of the sender.
        records: Records that the sender passes on.
        notice: Version that the sender enforces.
        reply_wanted: Whether the receiver is to answer with its records.
    """

    sender: MemberId
    records: tuple[Member, ...]
    notice: Notice
    reply_wanted: bool = False


@attrs.frozen
class Send:
    """Action: send a datagram to an address."""

    address: Address
    datagram: Datagram
