"""Candidates: members that may own a call."""

import attrs

from guavawing.model import MemberId

__all__ = ["Candidate"]


@attrs.frozen
class Candidate:
    """A member that may own the call.

    Attributes:
        id: Id of the member.
        incarnation: Incarnation of its process.
        local: Whether it is in this node's data centre.
        slots: Slots that it announced.
        key: What tells two processes apart, also of one member.
    """

    id: MemberId
    incarnation: int
    local: bool
    slots: int
    key: tuple[MemberId, int] = attrs.field(init=False)

    @key.default
    def _make_key(self) -> tuple[MemberId, int]:
        return (self.id, self.incarnation)
