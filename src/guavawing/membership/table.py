"""The member table: the newest record known of each member."""

from collections.abc import Iterator

from guavawing.membership.member import Member, MemberState
from guavawing.model import MemberId

__all__ = ["MemberTable"]


class MemberTable:
    """Records by member id; a record gives way only to a newer one."""

    __slots__ = ("_members",)

    def __init__(self) -> None:
        self._members: dict[MemberId, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def get(self, member_id: MemberId) -> Member | None:
        """Returns the newest record of a member."""
        return self._members.get(member_id)

    def merge(self, member: Member) -> bool:
        """Takes a record if it is newer; returns whether it was."""
        known = self._members.get(member.id)
        if known is not None and known.precedence() >= member.precedence():
            return False
        self._members[member.id] = member
        return True

    def remove(self, member_id: MemberId) -> None:
        """Forgets a member."""
        self._members.pop(member_id, None)

    def serving(self, service: str) -> list[Member]:
        """Returns the live members whose target takes calls of `service`."""
        return [
            member
            for member in self._members.values()
            if member.service == service
            and member.serving
            and member.state is MemberState.ALIVE
        ]
