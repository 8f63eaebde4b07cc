"""Members by the address of their gossip."""

from guavawing.membership.member import Member
from guavawing.model import Address

__all__ = ["AddressIndex"]


class AddressIndex:
    """Finds a member by its control address in one step.

    Nearly every member has a host of its own. Its entry is then the member
    itself, under the text of its host that the member holds anyway.
    """

    __slots__ = ("_by_host",)

    def __init__(self) -> None:
        # A host of several members has them by port.
        self._by_host: dict[str, Member | dict[int, Member]] = {}

    def find(self, control: Address) -> Member | None:
        """Returns the member that was added last with an address."""
        entry = self._by_host.get(control.host)
        if isinstance(entry, dict):
            return entry.get(control.port)
        if entry is None or entry.listeners.control.port != control.port:
            return None
        return entry

    def add(self, member: Member) -> None:
        """Adds a member in the place of another with its address."""
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
        """Removes a member unless another has taken its address."""
        control = member.control
        if self.find(control) is not member:
            return
        entry = self._by_host[control.host]
        if isinstance(entry, dict) and len(entry) > 1:
            del entry[control.port]
        else:
            del self._by_host[control.host]
