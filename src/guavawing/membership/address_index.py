"""Index of members by their control address."""

from guavawing.membership.member import Member
from guavawing.model import Address

__all__ = ["AddressIndex"]


class AddressIndex:
    """Maps control addresses to members in constant time.

    Nearly every member has its own host. Its entry is then the member itself
    and the key is the host string of its record, which saves memory.
    """

    __slots__ = ("_by_host",)

    def __init__(self) -> None:
        # Hosts with several members map to a dict of members by port.
        self._by_host: dict[str, Member | dict[int, Member]] = {}

    def find(self, control: Address) -> Member | None:
        """Returns the member added most recently with an address."""
        entry = self._by_host.get(control.host)
        if isinstance(entry, dict):
            return entry.get(control.port)
        if entry is None or entry.listeners.control.port != control.port:
            return None
        return entry

    def add(self, member: Member) -> None:
        """Adds a member and replaces another one with the same address."""
        listener = member.listeners.control
        host, port = listener.host or member.host, listener.port
        match self._by_host.get(host):
            case dict() as members:
                members[port] = member
            case Member(listeners=others) as other if (
                others.control.port != port
            ):
                members = {others.control.port: other, port: member}
                self._by_host[host] = members
            case _:
                self._by_host[host] = member

    def discard(self, member: Member) -> None:
        """Removes a member unless another one has replaced it."""
        control = member.control
        if self.find(control) is not member:
            return
        entry = self._by_host[control.host]
        if isinstance(entry, dict) and len(entry) > 1:
            del entry[control.port]
        else:
            del self._by_host[control.host]
