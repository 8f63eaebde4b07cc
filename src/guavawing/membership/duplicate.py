"""Tells when a second process may run under this node's id, and who yields.

A record of this id that is newer than this process's own may be a leftover
(of an earlier process whose clock was ahead), a lie, or the word of a second
process. A leftover is refuted once; a live process refutes the refutation.
As anyone can send such records, several of them are no proof: they are a
reason to ask the platform, and only its answer makes this process yield.
"""

import collections

import attrs

from guavawing.model import Address

__all__ = ["Rank", "RivalDetector"]

# Records of this id, made by another process, that are a reason to ask, and
# the time within which they come, in seconds.
MAX_FOREIGN_RECORDS = 3
WINDOW_S = 60.0
# Time after the first word of another member in which a process that has not
# joined hears of a forerunner: the answer to its first probe tells.
SETTLE_S = 2.0


@attrs.frozen(order=True)
class Rank:
    """Orders the processes under one id; the highest goes on.

    Attributes:
        incarnation: The process's incarnation once it knew its forerunners.
        control: Where it gossips; decides between equal incarnations.
    """

    incarnation: int
    control: Address


class RivalDetector:
    """Counts newer records of this node's id that it did not make.

    Attributes:
        rank: Rank of this process; None until it knows its forerunners.
        found: Whether another process is to go on in place of this one;
            never unset.
    """

    __slots__ = ("_control", "_heard_at", "_records_at", "found", "rank")

    def __init__(self, control: Address) -> None:
        self._control = control
        self._heard_at: float | None = None
        self._records_at: collections.deque[float] = collections.deque(
            maxlen=MAX_FOREIGN_RECORDS
        )
        self.rank: Rank | None = None
        self.found = False

    def hear(self, incarnation: int, *, joined: bool, now: float) -> None:
        """Takes the arrival of another member's datagram, before its content.

        Later refutations raise the incarnation of every process under the
        id, and so tell nothing of their order: the rank stays.

        Args:
            incarnation: Incarnation of this process by now.
            joined: Whether a member has told its whole state.
            now: Present time, in seconds.
        """
        if self.rank is not None:
            return
        if self._heard_at is None:
            self._heard_at = now
        if joined or now - self._heard_at >= SETTLE_S:
            self.rank = Rank(incarnation, self._control)

    def take_foreign_record(self, *, now: float) -> None:
        """Takes a newer record of this id that another process made."""
        if self.rank is not None:
            self._records_at.append(now)

    def is_suspected(self, *, now: float) -> bool:
        """Returns whether the platform is to be asked for another process."""
        full = len(self._records_at) == MAX_FOREIGN_RECORDS
        return full and now - self._records_at[0] <= WINDOW_S
