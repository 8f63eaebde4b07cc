"""Changes of this data centre that reporters send to the others."""

from collections.abc import Iterable, Mapping

from guavawing.membership.member import Member
from guavawing.membership.message import (
    MAX_DATAGRAM_BYTES,
    Claim,
    estimate_bytes,
)
from guavawing.membership.update_queue import Update
from guavawing.model import MemberId

__all__ = ["HEADER_BYTES", "Reports", "select_changes", "split_updates"]

# Ticks in which a change is sent, since its receivers may have stopped as well.
REMOTE_REPEATS = 3
# Space reserved in a datagram for its sender, notice and body.
HEADER_BYTES = 300


class Reports:
    """Changes that are still to be sent."""

    __slots__ = ("_changes", "_left")

    def __init__(self) -> None:
        self._changes: dict[MemberId, Member | Claim] = {}
        self._left: dict[MemberId, int] = {}

    def tick(
        self, changes: Mapping[MemberId, Member | Claim]
    ) -> tuple[Member | Claim, ...]:
        """Adds new changes; returns the changes to send in this tick."""
        for key in changes:
            self._left[key] = REMOTE_REPEATS
        self._changes |= changes
        due = tuple(self._changes.values())
        for key in tuple(self._changes):
            self._left[key] -= 1
            if self._left[key] == 0:
                del self._changes[key], self._left[key]
        return due


def select_changes(
    changes: Iterable[Member | Claim], sample: set[MemberId]
) -> list[Member | Claim]:
    """Returns the changes relevant to a data centre that has `sample`."""
    return [
        change
        for change in changes
        if isinstance(change, Claim)
        or change.id in sample
        or not change.serving
    ]


def split_updates(updates: Iterable[Update]) -> list[list[Update]]:
    """Splits updates into parts that each fit in one datagram."""
    parts: list[list[Update]] = []
    room = 0
    for update in updates:
        size = estimate_bytes(update)
        if size > room:
            parts.append([])
            room = MAX_DATAGRAM_BYTES - HEADER_BYTES
        parts[-1].append(update)
        room -= size
    return parts
