"""Detection of a second process with the id of this node.

A record of this id that is newer than the one of this process may be stale
(of an earlier process whose clock was ahead), forged, or of a second process.
A stale record is refuted once, while a live process refutes the refutation.
Any peer can send such records, so even several of them are no proof. They only
trigger a check with the platform, and only its answer makes this process stop.
"""

import collections

import attrs

from guavawing.model import Address

__all__ = ["DuplicateDetector", "Rank"]

# Number of records of this id from another process that trigger a check, and
# the time within which they are received, in seconds.
MAX_FOREIGN_RECORDS = 3
WINDOW_S = 60.0
# Time after the first datagram of another member in which a process that has
# not joined receives the record of an earlier process of its id, if there was
# one, with the answer to its first probe.
STALE_RECORD_WAIT_S = 2.0


@attrs.frozen(order=True)
class Rank:
    """Order of the processes with one id; the highest continues to run.

    Attributes:
        incarnation: Incarnation of the process when its rank was set.
        control: Its gossip address, which breaks ties.
    """

    incarnation: int
    control: Address


class DuplicateDetector:
    """Counts newer records of this node's id made by other processes.

    Attributes:
        rank: Rank of this process; None until records of earlier processes
            have been refuted.
        found: Whether another process replaces this one; never reset.
    """

    __slots__ = (
        "_control",
        "_first_receipt_at",
        "_records_at",
        "found",
        "rank",
    )

    def __init__(self, control: Address) -> None:
        self._control = control
        self._first_receipt_at: float | None = None
        self._records_at: collections.deque[float] = collections.deque(
            maxlen=MAX_FOREIGN_RECORDS
        )
        self.rank: Rank | None = None
        self.found = False

    def record_receipt(
        self, incarnation: int, *, joined: bool, now: float
    ) -> None:
        """Records a datagram of another member before its content is applied.

        The rank is set once: later refutations raise the incarnations of all
        processes with this id and do not reflect their order.

        Args:
            incarnation: Current incarnation of this process.
            joined: Whether the full state of a member was received.
            now: Current time, in seconds.
        """
        if self.rank is not None:
            return
        if self._first_receipt_at is None:
            self._first_receipt_at = now
        if joined or now - self._first_receipt_at >= STALE_RECORD_WAIT_S:
            self.rank = Rank(incarnation, self._control)

    def record_foreign(self, *, now: float) -> None:
        """Records a newer record of this id made by another process."""
        if self.rank is not None:
            self._records_at.append(now)

    def is_suspected(self, *, now: float) -> bool:
        """Returns whether to check for another process with the platform."""
        full = len(self._records_at) == MAX_FOREIGN_RECORDS
        return full and now - self._records_at[0] <= WINDOW_S
