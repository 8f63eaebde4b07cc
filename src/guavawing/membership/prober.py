"""Probe state and the order in which members are probed."""

import random
from collections.abc import Iterable

import attrs

from guavawing.model import Address, MemberId

__all__ = ["Probe", "ProbeOrder", "RelayedProbe"]


@attrs.define
class Probe:
    """A probe without an answer so far; times in seconds.

    Attributes:
        subject: The probed member.
        number: Number of the probe.
        indirect_at: When ping requests are sent to helpers.
        ends_at: When the probe fails.
        started_at: When it started.
        helpers: Helpers of the indirect probe; None before it.
        nacks: Helpers that sent a `Nack`.
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
    """A probe on behalf of another member.

    Attributes:
        subject: The probed member.
        number: Number of the probe at the requesting member.
        reply_to: Address of the requesting member.
        nack_at: When a `Nack` is sent to it; after that, when the probe ends.
        nacked: Whether the `Nack` was sent.
    """

    subject: MemberId
    number: int
    reply_to: Address
    nack_at: float
    nacked: bool = False


class ProbeOrder:
    """Members in random order, each once per round.

    This bounds the time until a member is probed, unlike an independent
    random choice for each probe.
    """

    __slots__ = ("_order", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[MemberId] = []

    def insert(self, member_id: MemberId) -> None:
        """Inserts a new member at a random position of the round."""
        place = self._rng.randrange(len(self._order) + 1)
        self._order.insert(place, member_id)

    def pop(self, running: Iterable[MemberId]) -> MemberId | None:
        """Removes and returns the next member; starts a new round if none."""
        candidates = dict.fromkeys(running)
        while self._order:
            member_id = self._order.pop()
            if member_id in candidates:
                return member_id
        self._order = list(candidates)
        self._rng.shuffle(self._order)
        return self._order.pop() if self._order else None
