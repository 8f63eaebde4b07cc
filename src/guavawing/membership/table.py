"""The member table: the newest record of each member."""

from collections.abc import Iterator

from guavawing.membership.address_index import AddressIndex
from guavawing.membership.member import Member, MemberState
from guavawing.model import Address, MemberId

__all__ = ["MAX_MEMBERS", "MemberTable"]

# Maximum number of members in a table; bounds the effect of faulty peers.
MAX_MEMBERS = 20_000


class MemberTable:
    """Records by member id; a record is replaced only by a newer one."""

    __slots__ = ("_by_address", "_by_data_centre", "_by_service", "_members")

    def __init__(self) -> None:
        self._members: dict[MemberId, Member] = {}
        # Lists use a third of the memory of dicts by id.
        self._by_service: dict[str, list[Member]] = {}
        self._by_data_centre: dict[str, list[Member]] = {}
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
        return sorted(self._by_data_centre)

    def members_in(self, data_centre: str) -> list[Member]:
        """Returns the members of a data centre, including stopped ones."""
        return list(self._by_data_centre.get(data_centre, ()))

    def serving(self, service: str) -> list[Member]:
        """Returns the members whose target accepts calls of `service`.

        Suspects are excluded unless all members are suspected: in that case
        a network fault is more likely, and a suspect may still answer.
        """
        running = list(self._by_service.get(service, ()))
        alive = [m for m in running if m.state is MemberState.ALIVE]
        return alive or running

    def merge(self, member: Member) -> bool:
        """Stores a record if it is newer; returns whether it was stored."""
        known = self._members.get(member.id)
        if known is None and len(self._members) >= MAX_MEMBERS:
            return False
        if known is not None:
            if known.precedence() >= member.precedence():
                return False
            self.remove(known.id)
        self._members[member.id] = member
        self._by_data_centre.setdefault(member.data_centre, []).append(member)
        self._by_address.add(member)
        if member.serving and member.running:
            self._by_service.setdefault(member.service, []).append(member)
        return True

    def remove(self, member_id: MemberId) -> None:
        """Removes a member if present."""
        member = self._members.pop(member_id, None)
        if member is None:
            return
        self._by_address.discard(member)
        _discard(self._by_data_centre, member.data_centre, member)
        _discard(self._by_service, member.service, member)


def _discard(
    groups: dict[str, list[Member]], name: str, member: Member
) -> None:
    group = groups.get(name, [])
    # Compares by identity: comparing all fields would take milliseconds.
    for index, each in enumerate(group):
        if each is member:
            del group[index]
            break
    if not group:
        groups.pop(name, None)
