"""Offers of free slots by an owner to entry nodes, one entry node at a time.

Load: many entry nodes choose an owner at the same moment from load reports of
the recent past. All see the same owner free, overrun it together, and leave
others idle. The owner alone knows its slots without delay, so it offers each
free slot to one entry node, with an answer that it sends anyway.

An offer reserves nothing. Whoever comes first gets the slot, and a request
whose offer was taken by another is queued or refused as any other. An offer
that is lost, or that a frozen, killed or unreachable entry node holds, keeps
its slot from being offered again for `OFFER_S`; an offer that arrives twice
makes at most one request wait.
"""

import collections

__all__ = ["OFFER_S", "HeldOffers", "SlotOffers"]

# Time for which an offer is valid, in seconds.
OFFER_S = 0.25


class HeldOffers:
    """Offers of one owner that an entry node holds."""

    __slots__ = ("_ends",)

    def __init__(self) -> None:
        self._ends: collections.deque[float] = collections.deque()

    def add(self, *, now: float) -> None:
        """Adds an offer that has just been received."""
        self._ends.append(now + OFFER_S)

    def has(self, *, now: float) -> bool:
        """Returns whether there is a valid offer."""
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        return bool(self._ends)

    def use(self, *, now: float) -> bool:
        """Uses up the oldest offer; returns False if there is none."""
        if not self.has(now=now):
            return False
        self._ends.popleft()
        return True

    def clear(self) -> None:
        """Discards all offers, as of an owner that turned out to be full."""
        self._ends.clear()


class SlotOffers:
    """Offers that an owner has made; there are at most as many as slots."""

    __slots__ = ("_made",)

    def __init__(self) -> None:
        # Ends of validity and holders, the oldest first.
        self._made: list[tuple[float, str]] = []

    def count(self, *, now: float) -> int:
        """Returns the number of valid offers that have not been used."""
        while self._made and self._made[0][0] <= now:
            del self._made[0]
        return len(self._made)

    def make(self, holder: str, *, free: int, now: float) -> bool:
        """Offers a slot to an entry node if one is free and not offered.

        Args:
            holder: Address of the entry node.
            free: Free slots.
            now: Event loop's time, in seconds.
        """
        if free <= self.count(now=now):
            return False
        self._made.append((now + OFFER_S, holder))
        return True

    def record_arrival(self, holder: str) -> None:
        """Uses up the oldest offer to the entry node of a new request."""
        for index, (_, known) in enumerate(self._made):
            if known == holder:
                del self._made[index]
                return
