"""The member table: the newest record known of each member."""

from collections.abc import Iterator

from guavawing.membership.address_index import AddressIndex
from guavawing.membership.member import Member, MemberState
from guavawing.model import Address, MemberId

__all__ = ["MAX_MEMBERS", "MemberTable"]

# Members of the fleet that a table holds at most, against broken peers.
MAX_MEMBERS = 20_000


class MemberTable:
    """Records by member id; a record gives way only to a newer one."""

    __slots__ = ("_by_address", "_by_centre", "_by_service", "_members")

    def __init__(self) -> None:
        self._members: dict[MemberId, Member] = {}
        # Lists take a third of the memory of dicts by id.
        self._by_service: dict[str, list[Member]] = {}
        self._by_centre: dict[str, list[Member]] = {}
        self._by_address = AddressIndex()

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def get(self, member_id: MemberId) -> Member | None:
        """Returns the newest record of a member."""
        return self._members.get(member_id)

    def find(self, control: Address) -> Member | None:
        """Returns the member with a control address."""
        return self._by_address.find(control)

    def data_centres(self) -> list[str]:
        """Returns the data centres of all members, in order."""
        return sorted(self._by_centre)

    def members_in(self, data_centre: str) -> list[Member]:
        """Returns the members of a data centre, stopped ones too."""
        return list(self._by_centre.get(data_centre, ()))

    def serving(self, service: str) -> list[Member]:
        """Returns the members whose target takes calls of `service`.

        Suspects are left out, unless all are suspected: then the fault is
        more likely in the network, and a suspect may still answer.
        """
        running = list(self._by_service.get(service, ()))
        alive = [m for m in running if m.state is MemberState.ALIVE]
        return alive or running

    def merge(self, member: Member) -> bool:
        """Takes a record if it is newer; returns whether it was."""
        known = self._members.get(member.id)
        if known is None and len(self._members) >= MAX_MEMBERS:
            return False
        if known is not None:
            if known.precedence() >= member.precedence():
                return False
            self.remove(known.id)
        self._members[member.id] = member
        self._by_centre.setdefault(member.data_centre, []).append(member)
        self._by_address.add(member)
        if member.serving and member.running:
            self._by_service.setdefault(member.service, []).append(member)
        return True

    def remove(self, member_id: MemberId) -> None:
        """Forgets a member."""
        member = self._members.pop(member_id, None)
        if member is None:
            return
        self._by_address.discard(member)
        _discard(self._by_centre, member.data_centre, member)
        _discard(self._by_service, member.service, member)


def _discard(
    groups: dict[str, list[Member]], name: str, member: Member
) -> None:
    group = groups.get(name, [])
    # By identity: comparing records would take milliseconds.
    for index, each in enumerate(group):
        if each is member:
            del group[index]
            break
    if not group:
        groups.pop(name, None)
