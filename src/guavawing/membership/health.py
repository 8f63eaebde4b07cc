"""Local health: how far a member trusts its own timing."""

__all__ = ["LocalHealth"]

MAX_SCORE = 8


class LocalHealth:
    """A score from 0 (healthy) to `MAX_SCORE`, after Lifeguard.

    A member that is slow sees others as slow. Each sign of it (a probe
    without any answer, a helper that stays silent, a suspicion of itself, a
    late timer) raises the score, and the score stretches its own probe
    period and timeouts before it accuses others.
    """

    __slots__ = ("_score",)

    def __init__(self) -> None:
        self._score = 0

    @property
    def score(self) -> int:
        """The score, 0 if healthy."""
        return self._score

    @property
    def factor(self) -> int:
        """What the probe period and its timeouts are multiplied by."""
        return self._score + 1

    def worsen(self, points: int) -> None:
        """Takes signs that this member is slow."""
        self._score = min(MAX_SCORE, self._score + points)

    def improve(self) -> None:
        """Takes a probe that was answered in time."""
        self._score = max(0, self._score - 1)

    def distrust(self) -> None:
        """Takes a stall of this process."""
        self._score = MAX_SCORE
