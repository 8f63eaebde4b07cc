"""Bounded subset of the owners that an entry node sends calls to.

Rendezvous hashing (Thaler and Ravishankar, 1998): each entry node ranks the
owners by a hash of both ids and uses those with the lowest ranks. Entry nodes
need no coordination, the owners are spread evenly over them, and a subset
changes by one owner when an owner is added or removed.
"""

import heapq
from collections.abc import Sequence

import xxhash

from guavawing.model import MemberId
from guavawing.policy.candidate import Candidate

__all__ = ["Subset"]


class Subset:
    """Ranks of the owners for one entry node."""

    __slots__ = ("_entry_id", "_ranks", "_size")

    def __init__(self, entry_id: MemberId, *, size: int) -> None:
        self._entry_id = entry_id
        self._size = size
        self._ranks: dict[MemberId, int] = {}

    def pick(self, owners: Sequence[Candidate]) -> list[Candidate]:
        """Returns the owners with the lowest ranks, or all within the size."""
        if len(owners) <= self._size:
            return list(owners)
        return heapq.nsmallest(
            self._size, owners, key=lambda owner: self._rank(owner.id)
        )

    def _rank(self, owner: MemberId) -> int:
        rank = self._ranks.get(owner)
        if rank is None:
            text = f"{self._entry_id}\n{owner}"
            rank = self._ranks[owner] = xxhash.xxh3_64_intdigest(text.encode())
        return rank

    def remove(self, owner: MemberId) -> None:
        """Removes the rank of an owner."""
        self._ranks.pop(owner, None)
