"""Estimate of the time that a client has already spent on retries.

A client that retries after a refusal sends a new request with the remainder
of its time. The difference between that and the time that clients of the route
allow at first is the time already spent.
"""

__all__ = ["ClientWaitEstimator"]

# Relative decrease of the longest observed time with each request, so that the
# estimate follows clients that lower their timeouts.
DECAY = 0.0002


class ClientWaitEstimator:
    """Longest time that clients allow, for each route."""

    __slots__ = ("_longest_s",)

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def estimate_spent_s(self, route: str, left_s: float) -> float:
        """Records a request and estimates the time its client has spent.

        Args:
            route: Name of the route.
            left_s: Time for which the client still waits, in seconds.

        Returns:
            Time since the client's first attempt, in seconds.
        """
        longest_s = self._longest_s.get(route, 0.0) * (1 - DECAY)
        longest_s = max(longest_s, left_s)
        self._longest_s[route] = longest_s
        return longest_s - left_s
