"""Updates on their way to the other members."""

import itertools
import math

import attrs

from guavawing.membership.member import Member
from guavawing.membership.message import Claim, SummaryAge, estimate_bytes

__all__ = ["RumourQueue", "Update"]

RETRANSMIT_MULTIPLIER = 6

Update = Member | Claim | SummaryAge


@attrs.define
class _Rumour:
    update: Update
    number: int
    sends: int = 0


class RumourQueue:
    """Holds each update until it was sent often enough.

    A random member hears of an update with each copy, so a number of copies
    that grows with the logarithm of the group reaches all but a few, which
    the exchange of full state serves. A newer update of the same subject
    takes the place of the older one.
    """

    __slots__ = ("_numbers", "_queue")

    def __init__(self) -> None:
        self._queue: dict[tuple[str, str], _Rumour] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, update: Update) -> None:
        """Takes an update in place of an older one of the same subject."""
        key = _make_key(update)
        self._queue[key] = _Rumour(update, next(self._numbers))

    def drop_claims(self) -> None:
        """Forgets what was to be said of the life of other members."""
        self._queue = {
            key: rumour
            for key, rumour in self._queue.items()
            if not isinstance(rumour.update, Claim)
        }

    def take(self, *, max_bytes: int, members: int) -> list[Update]:
        """Returns updates for one datagram, those sent least first.

        Args:
            max_bytes: Room in the datagram.
            members: Size of the group, which sets how often each is sent.
        """
        if not self._queue:
            return []
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))
        ordered = sorted(
            self._queue.items(),
            key=lambda item: (item[1].sends, -item[1].number),
        )
        taken: list[Update] = []
        for key, rumour in ordered:
            size = estimate_bytes(rumour.update)
            if size > max_bytes:
                break
            max_bytes -= size
            taken.append(rumour.update)
            rumour.sends += 1
            if rumour.sends >= limit:
                del self._queue[key]
        return taken


def _make_key(update: Update) -> tuple[str, str]:
    match update:
        case Member(id=subject) | Claim(subject=subject):
            return ("member", subject)
        case SummaryAge(data_centre=data_centre):
            return ("summary", data_centre)
