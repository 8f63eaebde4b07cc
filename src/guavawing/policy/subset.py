"""Bounded subset of owners: which of many an entry node talks to.

Rendezvous hashing (Thaler and Ravishankar, 1998): each entry node ranks the
owners by a hash of both names and takes the first ones. The subset needs no
agreement, is spread evenly over the entry nodes, and changes by one owner
when one comes or goes.
"""

import heapq
from collections.abc import Sequence

import xxhash

from guavawing.model import MemberId
from guavawing.policy.candidate import Candidate

__all__ = ["Subset"]


class Subset:
    """Ranks owners for one entry node."""

    __slots__ = ("_ranks", "_size", "_viewer")

    def __init__(self, viewer: MemberId, *, size: int) -> None:
        self._viewer = viewer
        self._size = size
        self._ranks: dict[MemberId, int] = {}

    def pick(self, owners: Sequence[Candidate]) -> list[Candidate]:
        """Returns the first owners by rank; all of them if they are few."""
        if len(owners) <= self._size:
            return list(owners)
        return heapq.nsmallest(
            self._size, owners, key=lambda owner: self._rank(owner.id)
        )

    def _rank(self, owner: MemberId) -> int:
        rank = self._ranks.get(owner)
        if rank is None:
            text = f"{self._viewer}\n{owner}"
            rank = self._ranks[owner] = xxhash.xxh3_64_intdigest(text.encode())
        return rank

    def remove(self, owner: MemberId) -> None:
        """Drops the rank of an owner."""
        self._ranks.pop(owner, None)
