"""Local health: an estimate of this member's own timeliness."""

__all__ = ["LocalHealth"]

MAX_SCORE = 8


class LocalHealth:
    """A score from 0 (healthy) to `MAX_SCORE`, after Lifeguard.

    A slow member observes others as slow. Each indication of slowness (a
    probe without any answer, a helper without an answer, a suspicion of this
    member, a late timer) increases the score. The probe period and its
    timeouts grow with the score, so that a slow member suspects others later.
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
        """Multiplier of the probe period and its timeouts."""
        return self._score + 1

    def worsen(self, points: int) -> None:
        """Records indications that this member is slow."""
        self._score = min(MAX_SCORE, self._score + points)

    def improve(self) -> None:
        """Records a probe that was answered in time."""
        self._score = max(0, self._score - 1)

    def record_stall(self) -> None:
        """Records a stall of this process: sets the maximum score."""
        self._score = MAX_SCORE
