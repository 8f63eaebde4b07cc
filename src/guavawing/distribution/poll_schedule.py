"""When a node reads the head of the configuration from the platform.

The live nodes of a data centre together make one read a period. Each node
draws once a period whether it is the one, with odds of one in the number of
live nodes. The draw has no memory: a node whose peers have just died takes
over their share in the next period, where a long sleep drawn earlier would
keep it silent. A node that has just started waits at random first, so that a
herd of restarted nodes does not read all at once; most of them learn a
version from peers before their turn and leave the read out.
"""

import random

__all__ = ["PollSchedule"]

START_SPREAD_S = 8.0
# Longest pause after failed reads, in periods.
MAX_BACKOFF = 4


class PollSchedule:
    """Decides whether to read the head now."""

    __slots__ = ("_backoff", "_first_at", "_period_s", "_rng")

    def __init__(
        self, rng: random.Random, *, period_s: float, now: float
    ) -> None:
        self._rng = rng
        self._period_s = period_s
        self._backoff = 1
        self._first_at = now + rng.uniform(0.0, START_SPREAD_S)

    def draw_pause(self) -> float:
        """Returns the time until the next draw, in seconds."""
        return self._rng.uniform(0.5, 1.5) * self._period_s * self._backoff

    def record_read(self, *, succeeded: bool) -> None:
        """Takes the outcome of a read; failures make the pauses longer."""
        longer = min(self._backoff * 2, MAX_BACKOFF)
        self._backoff = 1 if succeeded else longer

    def is_due(self, *, now: float, live_nodes: int, has_version: bool) -> bool:
        """Returns whether this node reads the head now."""
        if not has_version and now < self._first_at:
            return False
        return self._rng.random() * max(live_nodes, 1) < 1.0
