"""Schedule of the reads of the configuration head from the platform.

The live nodes of a data centre together make about one read per period. Once
per period each node reads with a probability of one divided by the number of
live nodes. The draws are independent: if peers stop, the other nodes make
their reads in the next period, whereas a long interval drawn earlier would
delay these reads. A node that has just started waits for a random time first,
so that nodes restarted together do not all read at once; most of them receive
a version from peers before that and skip the read.

A node without known members has no estimate of the number of readers. While
other members are expected, it makes no read during the period over which the
first reads of seed rows are spread, and then reads at increasing, jittered
intervals.
"""

import random

__all__ = ["PollSchedule"]

START_SPREAD_S = 8.0
# Range of the first read of a node that still awaits members, in seconds after
# its start: after the period over which first reads of seed rows are spread.
FIRST_AWAITING_READ_S = (15.0, 60.0)
# Mean intervals between its further reads: the first and the longest.
AWAITING_WAIT_S = 45.0
MAX_AWAITING_WAIT_S = 90.0
# Longest backoff after failed reads, in periods.
MAX_BACKOFF = 4


class PollSchedule:
    """Decides when a node reads the head."""

    __slots__ = (
        "_awaiting_at",
        "_awaiting_wait_s",
        "_backoff",
        "_first_at",
        "_found_members",
        "_period_s",
        "_rng",
        "_started_at",
    )

    def __init__(
        self, rng: random.Random, *, period_s: float, now: float
    ) -> None:
        self._rng = rng
        self._period_s = period_s
        self._backoff = 1
        self._first_at = now + rng.uniform(0.0, START_SPREAD_S)
        self._started_at = now
        self._awaiting_at: float | None = None
        self._awaiting_wait_s = AWAITING_WAIT_S
        # Whether members are known, or none are expected.
        self._found_members = False

    def draw_interval(self) -> float:
        """Returns a random interval between two draws, in seconds."""
        return self._rng.uniform(0.5, 1.5) * self._period_s * self._backoff

    def record_read(self, *, succeeded: bool) -> None:
        """Records the outcome of a read; failures increase the backoff."""
        longer = min(self._backoff * 2, MAX_BACKOFF)
        self._backoff = 1 if succeeded else longer

    def is_due(
        self,
        *,
        now: float,
        live_nodes: int,
        has_version: bool,
        awaits_members: bool = False,
    ) -> bool:
        """Returns whether this node reads the head now.

        Args:
            now: Event loop's time, in seconds.
            live_nodes: Live nodes of the data centre, this one included.
            has_version: Whether a version is in force here.
            awaits_members: Whether members are expected but none is known.
        """
        self._found_members |= not awaits_members
        if not self._found_members:
            return self._is_awaiting_due(now)
        if not has_version and now < self._first_at:
            return False
        return self._rng.random() * max(live_nodes, 1) < 1.0

    def _is_awaiting_due(self, now: float) -> bool:
        if self._awaiting_at is None:
            first_s = self._rng.uniform(*FIRST_AWAITING_READ_S)
            self._awaiting_at = self._started_at + first_s
        if now < self._awaiting_at:
            return False
        wait_s = self._awaiting_wait_s
        self._awaiting_at = now + self._rng.uniform(0.5, 1.5) * wait_s
        self._awaiting_wait_s = min(2 * wait_s, MAX_AWAITING_WAIT_S)
        return True
