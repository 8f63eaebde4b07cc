"""Members: one node and the target beside it."""

import enum
import sys

import attrs

from guavawing.model import Address, MemberId

__all__ = [
    "MAX_INCARNATION",
    "MAX_SEQUENCE",
    "Member",
    "MemberState",
    "share_host",
]

# Incarnations are start times in milliseconds; greater ones than this lie
# centuries ahead and come from a broken peer.
MAX_INCARNATION = 2**44
MAX_SEQUENCE = 2**32


class MemberState(enum.IntEnum):
    """What is known of a member; the order breaks ties of one sequence."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@attrs.frozen(weakref_slot=False)
class Member:
    """What the others know of a node.

    Attributes:
        id: Name of the node, unique in the fleet.
        incarnation: Chosen at the start of the process; a restart takes a
            higher one.
        sequence: Raised by the member itself whenever its record changes.
        state: What is known of its life.
        data_centre: Data centre of its VM.
        region: Region of its data centre.
        service: Service of its target.
        mesh: Where it takes calls from other nodes.
        control: Where it takes gossip (UDP) and pulls (TCP).
        admin: Where it answers operators.
        slots: Calls that its target executes at a time.
        serving: Whether its target takes new calls.
    """

    id: MemberId
    incarnation: int
    sequence: int
    state: MemberState
    # Thousands of records name the same few of these: one copy is kept.
    data_centre: str = attrs.field(converter=sys.intern)
    region: str = attrs.field(converter=sys.intern)
    service: str = attrs.field(converter=sys.intern)
    mesh: Address
    control: Address
    admin: Address
    slots: int
    serving: bool

    @property
    def running(self) -> bool:
        """Whether the member is not known to have stopped."""
        return self.state <= MemberState.SUSPECT

    def version(self) -> tuple[int, int]:
        """Returns what only the member itself raises."""
        return (self.incarnation, self.sequence)

    def precedence(self) -> tuple[int, int, int]:
        """Returns what orders two records of the same member."""
        return (self.incarnation, self.sequence, self.state)


def share_host(member: Member) -> Member:
    """Returns a record whose addresses share one copy of their host."""
    host = member.mesh.host
    if member.control.host is host and member.admin.host is host:
        return member

    def share(address: Address) -> Address:
        return Address(host, address.port) if address.host == host else address

    return attrs.evolve(
        member, control=share(member.control), admin=share(member.admin)
    )
