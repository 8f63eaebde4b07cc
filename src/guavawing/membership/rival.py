"""Tells a second process under this node's id from an old record of it.

An old record, such as one of an earlier process on a VM whose clock was
ahead, is refuted once. A live process refutes the refutation. As a process
takes no notice of records older than its own, the one that started first is
as a rule the first to count up to `MAX_FOREIGN_RECORDS`.
"""

import collections

__all__ = ["RivalDetector"]

# Records of this id, made by another process, that prove that it lives, and
# the time within which they come, in seconds.
MAX_FOREIGN_RECORDS = 3
WINDOW_S = 60.0
# Time from the start of a process in which such records don't count: it
# learns then what its forerunner has told, and its refutations of that
# must not make it yield to a forerunner that still runs.
SETTLE_S = 5.0


class RivalDetector:
    """Counts newer records of this node's id that it did not make.

    Attributes:
        found: Whether another process lives under this id; never unset.
    """

    __slots__ = ("_heard_at", "_started_at", "found")

    def __init__(self) -> None:
        self._heard_at: collections.deque[float] = collections.deque(
            maxlen=MAX_FOREIGN_RECORDS
        )
        self._started_at: float | None = None
        self.found = False

    def start(self, *, now: float) -> None:
        """Takes the time at which this process started."""
        self._started_at = now

    def take_foreign_record(self, *, now: float) -> None:
        """Takes a newer record of this id that another process made."""
        if self._started_at is None or now - self._started_at < SETTLE_S:
            return
        self._heard_at.append(now)
        full = len(self._heard_at) == MAX_FOREIGN_RECORDS
        if full and now - self._heard_at[0] <= WINDOW_S:
            self.found = True
