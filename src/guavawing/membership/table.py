"""The member table: the newest record known of each member."""

from collections.abc import Iterator

from guavawing.membership.member import Member, MemberState, share_host
from guavawing.model import Address, MemberId

__all__ = ["MAX_MEMBERS", "MemberTable"]

# Members of the fleet that a table holds at most, against broken peers.
MAX_MEMBERS = 20_000


class MemberTable:
    """Records by member id; a record gives way only to a newer one."""

    __slots__ = ("_by_address", "_by_centre", "_by_service", "_members")

    def __init__(self) -> None:
        self._members: dict[MemberId, Member] = {}
        self._by_service: dict[str, dict[MemberId, Member]] = {}
        self._by_centre: dict[str, dict[MemberId, Member]] = {}
        self._by_address: dict[Address, MemberId] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def get(self, member_id: MemberId) -> Member | None:
        """Returns the newest record of a member."""
        return self._members.get(member_id)

    def find(self, control: Address) -> Member | None:
        """Returns the member with a control address."""
        return self._members.get(self._by_address.get(control, ""))

    def data_centres(self) -> list[str]:
        """Returns the data centres of all members, in order."""
        return sorted(self._by_centre)

    def members_in(self, data_centre: str) -> list[Member]:
        """Returns the members of a data centre, stopped ones too."""
        return list(self._by_centre.get(data_centre, {}).values())

    def serving(self, service: str) -> list[Member]:
        """Returns the members whose target takes calls of `service`.

        Suspects are left out, unless all are suspected: then the fault is
        more likely in the network, and a suspect may still answer.
        """
        running = list(self._by_service.get(service, {}).values())
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
        member = share_host(member)
        self._members[member.id] = member
        self._by_centre.setdefault(member.data_centre, {})[member.id] = member
        self._by_address[member.control] = member.id
        if member.serving and member.running:
            group = self._by_service.setdefault(member.service, {})
            group[member.id] = member
        return True

    def remove(self, member_id: MemberId) -> None:
        """Forgets a member."""
        member = self._members.pop(member_id, None)
        if member is None:
            return
        if self._by_address.get(member.control) == member_id:
            del self._by_address[member.control]
        _discard(self._by_centre, member.data_centre, member_id)
        _discard(self._by_service, member.service, member_id)


def _discard(
    groups: dict[str, dict[MemberId, Member]], name: str, member_id: MemberId
) -> None:
    group = groups.get(name, {})
    group.pop(member_id, None)
    if not group:
        groups.pop(name, None)
