"""Rate limiter whose rate may change while it is in use."""

__all__ = ["RateLimiter", "find_admitted_rate"]

# Lowest rate, in requests per second: a target that accepts less, or nothing,
# is still asked this often, so that the end of its limit is noticed.
MIN_RATE_PER_S = 0.5
# Unused room that is kept for later requests: the number of requests that the
# rate allows in this time, in seconds, and at least one.
BURST_S = 0.1
MIN_BURST = 1.0
# Tolerance for rounding, in requests: a timer that is set for the time at which
# there is room for a request must find it.
ROUNDING = 1e-6


def find_admitted_rate(per_s: float) -> float:
    """Returns the rate at which requests are admitted under a limit.

    Args:
        per_s: The limit, in requests per second.
    """
    return max(per_s, MIN_RATE_PER_S)


class RateLimiter:
    """Token bucket; `now` is the event loop's time in seconds."""

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at")

    def __init__(self, per_s: float, *, now: float) -> None:
        """Creates a limiter without room for a burst.

        Args:
            per_s: Requests per second; below `MIN_RATE_PER_S` that rate is
                used.
            now: Event loop's time, in seconds.
        """
        self._tokens = 0.0
        self._updated_at = now
        self._set_rate(per_s)

    def change_rate(self, per_s: float, *, now: float) -> None:
        """Changes the rate; room that was gained before is kept."""
        self._refill(now)
        self._set_rate(per_s)

    def acquire(self, *, now: float) -> bool:
        """Uses the room for one request; returns False if there is none."""
        self._refill(now)
        if self._tokens < 1 - ROUNDING:
            return False
        self._tokens -= 1
        return True

    def wait_s(self, *, now: float, ahead: int = 0) -> float:
        """Returns the time until there is room for a request, in seconds.

        It is negative if there was room earlier.

        Args:
            now: Event loop's time, in seconds.
            ahead: Requests that are admitted before it.
        """
        self._refill(now)
        return (1 + ahead - self._tokens) / self._rate

    def _set_rate(self, per_s: float) -> None:
        self._rate = find_admitted_rate(per_s)
        self._burst = max(MIN_BURST, self._rate * BURST_S)
        self._tokens = min(self._tokens, self._burst)

    def _refill(self, now: float) -> None:
        gained = (now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
