"""Members that are eligible as owner of a call."""

import attrs

from guavawing.model import MemberId

__all__ = ["Candidate"]


@attrs.frozen
class Candidate:
    """A member that is eligible as owner of a call.

    Attributes:
        id: Id of the member.
        incarnation: Incarnation of its process.
        local: Whether it is in the entry node's data centre.
        slots: Number of slots that it announced.
        key: Identity of the process: id and incarnation of the member.
    """

    id: MemberId
    incarnation: int
    local: bool
    slots: int
    key: tuple[MemberId, int] = attrs.field(init=False)

    @key.default
    def _make_key(self) -> tuple[MemberId, int]:
        return (self.id, self.incarnation)
