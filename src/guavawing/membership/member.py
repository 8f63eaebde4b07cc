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

# Incarnations are start times in milliseconds; values above this limit are
# centuries in the future and come from a faulty peer.
MAX_INCARNATION = 2**44
MAX_SEQUENCE = 2**32
# Distinct listeners cached for members to share. A fleet has few; the limit
# bounds the memory if a faulty peer sends any number.
MAX_SHARED_LISTENERS = 1_000

_shared_listeners: dict["Listeners", "Listeners"] = {}


class MemberState(enum.IntEnum):
    """State of a member; the order breaks ties between equal sequences."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@attrs.frozen(weakref_slot=False)
class Listeners:
    """Listening addresses of a node, relative to its host.

    An empty host means the host of the member. Nearly all members of a fleet
    then have equal listeners and share one copy.

    Attributes:
        mesh: For calls from other nodes.
        control: For gossip (UDP) and pulls (TCP).
        admin: For operators' requests.
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
    """Record of a node as distributed to other members.

    Attributes:
        id: Name of the node, unique in the fleet.
        incarnation: Chosen at the start of the process; higher after a
            restart.
        sequence: Incremented by the member itself when its record changes.
        state: Whether it is alive, suspected, dead or has left.
        data_centre: Data centre of its VM.
        region: Region of its data centre.
        service: Service of its target.
        host: IP address of `mesh`.
        listeners: Its ports, and the hosts that differ from `host`.
        slots: Number of calls that its target executes concurrently.
        serving: Whether its target accepts new calls.
    """

    id: MemberId
    incarnation: int
    sequence: int
    state: MemberState
    # Interned: thousands of records share a few distinct values.
    data_centre: str = attrs.field(converter=sys.intern)
    region: str = attrs.field(converter=sys.intern)
    service: str = attrs.field(converter=sys.intern)
    host: str
    listeners: Listeners
    slots: int
    serving: bool

    @property
    def mesh(self) -> Address:
        """Address for calls from other nodes."""
        return self._locate(self.listeners.mesh)

    @property
    def control(self) -> Address:
        """Address for gossip (UDP) and pulls (TCP)."""
        return self._locate(self.listeners.control)

    @property
    def admin(self) -> Address:
        """Address for operators' requests."""
        return self._locate(self.listeners.admin)

    @property
    def running(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.state <= MemberState.SUSPECT

    def version(self) -> tuple[int, int]:
        """Returns the part of the precedence that only the member increases."""
        return (self.incarnation, self.sequence)

    def precedence(self) -> tuple[int, int, int]:
        """Returns the sort key of records of the same member."""
        return (self.incarnation, self.sequence, self.state)

    def _locate(self, listener: Address) -> Address:
        return listener if listener.host else Address(self.host, listener.port)
