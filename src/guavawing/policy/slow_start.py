"""Slow start: a new owner gets a growing share of its usual calls."""

__all__ = ["SlowStart"]

SLOW_START_S = 5.0
FIRST_SHARE = 0.1


class SlowStart:
    """Owners in slow start, with the time at which it began."""

    __slots__ = ("_last", "_since")

    def __init__(self) -> None:
        self._since: dict[object, float] = {}
        self._last = -SLOW_START_S

    def start(self, owner: object, *, now: float) -> None:
        """Puts an owner into slow start from `now` on."""
        self._since[owner] = now
        self._last = max(self._last, now)

    def any_started(self, *, now: float) -> bool:
        """Returns whether any owner is in slow start."""
        return now < self._last + SLOW_START_S

    def share(self, owner: object, *, now: float) -> float:
        """Returns the share of its usual calls that an owner gets, up to 1."""
        since = self._since.get(owner)
        if since is None:
            return 1.0
        grown = max(0.0, now - since) / SLOW_START_S
        return min(1.0, FIRST_SHARE + (1 - FIRST_SHARE) * grown)

    def remove(self, owner: object) -> None:
        """Removes an owner."""
        self._since.pop(owner, None)
