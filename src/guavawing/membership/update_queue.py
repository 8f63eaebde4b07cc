"""Queue of updates to disseminate to other members."""

import itertools
import math

import attrs

from guavawing.membership.member import Member
from guavawing.membership.message import Claim, SummaryAge, estimate_bytes

__all__ = ["Update", "UpdateQueue"]

RETRANSMIT_MULTIPLIER = 6

Update = Member | Claim | SummaryAge


@attrs.define
class _QueuedUpdate:
    update: Update
    number: int
    sends: int = 0


class UpdateQueue:
    """Holds each update until it has been sent often enough.

    Each copy goes to a random member. A number of copies proportional to the
    logarithm of the group size reaches all but a few members, which receive
    the update by the exchange of full state. A newer update replaces an older
    one of the same subject.
    """

    __slots__ = ("_numbers", "_queue")

    def __init__(self) -> None:
        self._queue: dict[tuple[str, str], _QueuedUpdate] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, update: Update) -> None:
        """Adds an update and replaces an older one of the same subject."""
        key = _make_key(update)
        self._queue[key] = _QueuedUpdate(update, next(self._numbers))

    def drop_claims(self) -> None:
        """Removes all queued claims about other members."""
        self._queue = {
            key: queued
            for key, queued in self._queue.items()
            if not isinstance(queued.update, Claim)
        }

    def select(self, *, max_bytes: int, members: int) -> list[Update]:
        """Returns updates for one datagram, the least often sent first.

        Args:
            max_bytes: Maximum total size of the updates.
            members: Size of the group, which determines how often each
                update is sent.
        """
        if not self._queue:
            return []
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))
        ordered = sorted(
            self._queue.items(),
            key=lambda item: (item[1].sends, -item[1].number),
        )
        selected: list[Update] = []
        for key, queued in ordered:
            size = estimate_bytes(queued.update)
            if size > max_bytes:
                break
            max_bytes -= size
            selected.append(queued.update)
            queued.sends += 1
            if queued.sends >= limit:
                del self._queue[key]
        return selected


def _make_key(update: Update) -> tuple[str, str]:
    match update:
        case Member(id=subject) | Claim(subject=subject):
            return ("member", subject)
        case SummaryAge(data_centre=data_centre):
            return ("summary", data_centre)
