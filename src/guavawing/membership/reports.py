"""What a reporter tells other data centres of changes in its own."""

from collections.abc import Iterable, Mapping

from guavawing.membership.member import Member
from guavawing.membership.message import (
    MAX_DATAGRAM_BYTES,
    Claim,
    estimate_bytes,
)
from guavawing.membership.update_queue import Update
from guavawing.model import MemberId

__all__ = ["HEAD_BYTES", "Reports", "select_changes", "split_updates"]

# Ticks in which a change is told, since the contacts may have stopped as well.
REMOTE_REPEATS = 3
# Room that a datagram keeps for its sender, notice and body.
HEAD_BYTES = 300


class Reports:
    """Changes that are still to be told."""

    __slots__ = ("_changes", "_left")

    def __init__(self) -> None:
        self._changes: dict[MemberId, Member | Claim] = {}
        self._left: dict[MemberId, int] = {}

    def take(
        self, news: Mapping[MemberId, Member | Claim]
    ) -> tuple[Member | Claim, ...]:
        """Takes what is new; returns what is to be told in this tick."""
        for key in news:
            self._left[key] = REMOTE_REPEATS
        self._changes |= news
        due = tuple(self._changes.values())
        for key in tuple(self._changes):
            self._left[key] -= 1
            if self._left[key] == 0:
                del self._changes[key], self._left[key]
        return due


def select_changes(
    changes: Iterable[Member | Claim], sample: set[MemberId]
) -> list[Member | Claim]:
    """Returns the changes that matter to a data centre that knows a sample."""
    return [
        change
        for change in changes
        if isinstance(change, Claim)
        or change.id in sample
        or not change.serving
    ]


def split_updates(updates: Iterable[Update]) -> list[list[Update]]:
    """Returns the updates in parts that fit one datagram each."""
    parts: list[list[Update]] = []
    room = 0
    for update in updates:
        size = estimate_bytes(update)
        if size > room:
            parts.append([])
            room = MAX_DATAGRAM_BYTES - HEAD_BYTES
        parts[-1].append(update)
        room -= size
    return parts
