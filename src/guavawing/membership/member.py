"""Members: one node and the target beside it."""

import enum
import sys

import attrs

from guavawing.model import Address, MemberId

__all__ = [
    "MAX_INCARNATION",
    "MAX_SEQUENCE",
    "Listeners",
    "Member",
    "MemberState",
]

# Incarnations are start times in milliseconds; greater ones than this lie
# centuries ahead and come from a broken peer.
MAX_INCARNATION = 2**44
MAX_SEQUENCE = 2**32
# Different listeners that are kept for members to share. A fleet has few; a
# broken peer may tell of any number.
MAX_SHARED_LISTENERS = 1_000

_shared_listeners: dict["Listeners", "Listeners"] = {}


class MemberState(enum.IntEnum):
    """What is known of a member; the order breaks ties of one sequence."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@attrs.frozen(weakref_slot=False)
class Listeners:
    """Where the parts of a node listen, seen from its host.

    An empty host stands for the host of the member. Nearly all members of a
    fleet then have equal listeners and share one copy.

    Attributes:
        mesh: Takes calls from other nodes.
        control: Takes gossip (UDP) and pulls (TCP).
        admin: Answers operators.
    """

    mesh: Address
    control: Address
    admin: Address

    @classmethod
    def share(
        cls, mesh: Address, control: Address, admin: Address
    ) -> "Listeners":
        """Returns the listeners of a member whose host is that of `mesh`."""
        made = cls(
            *(
                Address("", each.port) if each.host == mesh.host else each
                for each in (mesh, control, admin)
            )
        )
        if len(_shared_listeners) >= MAX_SHARED_LISTENERS:
            _shared_listeners.clear()
        return _shared_listeners.setdefault(made, made)


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
        host: IP address of `mesh`.
        listeners: Ports of its parts, and hosts that differ from `host`.
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
    host: str
    listeners: Listeners
    slots: int
    serving: bool

    @property
    def mesh(self) -> Address:
        """Where it takes calls from other nodes."""
        return self._locate(self.listeners.mesh)

    @property
    def control(self) -> Address:
        """Where it takes gossip (UDP) and pulls (TCP)."""
        return self._locate(self.listeners.control)

    @property
    def admin(self) -> Address:
        """Where it answers operators."""
        return self._locate(self.listeners.admin)

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

    def _locate(self, listener: Address) -> Address:
        return listener if listener.host else Address(self.host, listener.port)
