"""Probes: which member is asked next, and whether it answered."""

import random
from collections.abc import Iterable

import attrs

from guavawing.model import Address, MemberId

__all__ = ["Probe", "ProbeOrder", "RelayedProbe"]


@attrs.define
class Probe:
    """A probe that has no answer yet; times in seconds.

    Attributes:
        subject: Member that is probed.
        number: Number of the probe.
        indirect_at: When helpers are asked.
        ends_at: When the probe has failed.
        started_at: When it started.
        helpers: Helpers that were asked; None before.
        nacks: Helpers that answered without the subject's answer.
    """

    subject: MemberId
    number: int
    indirect_at: float
    ends_at: float
    started_at: float
    helpers: tuple[MemberId, ...] | None = None
    nacks: set[MemberId] = attrs.field(factory=set)


@attrs.define
class RelayedProbe:
    """A probe made for another member.

    Attributes:
        subject: Member that is probed.
        number: Number under which the other member asked.
        reply_to: Where the other member takes the answer.
        nack_at: When the other member is told that there is none yet.
        nacked: Whether it was told.
    """

    subject: MemberId
    number: int
    reply_to: Address
    nack_at: float
    nacked: bool = False


class ProbeOrder:
    """Members in random order, each once before any comes again.

    That bounds the time to the next probe of a member, which a random
    choice each time would not.
    """

    __slots__ = ("_order", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[MemberId] = []

    def insert(self, member_id: MemberId) -> None:
        """Adds a new member at a random place of the round."""
        place = self._rng.randrange(len(self._order) + 1)
        self._order.insert(place, member_id)

    def pop(self, running: Iterable[MemberId]) -> MemberId | None:
        """Returns the next member; starts a new round after the last one."""
        wanted = dict.fromkeys(running)
        while self._order:
            member_id = self._order.pop()
            if member_id in wanted:
                return member_id
        self._order = list(wanted)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None
