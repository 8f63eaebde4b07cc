"""How long a client has been trying already.

A client that returns after a refusal sends a new request with what is left of
its time. How much that is less than what clients of the route have when they
begin tells how long it has been trying.
"""

__all__ = ["ClientWaitEstimator"]

# Part by which the longest known time falls with each request, so that it
# follows clients that become less patient.
DECAY = 0.0002


class ClientWaitEstimator:
    """Longest time that clients of each route give."""

    __slots__ = ("_longest_s",)

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def estimate_spent_s(self, route: str, left_s: float) -> float:
        """Takes a request and returns how long its client has been trying.

        Args:
            route: Name of the route.
            left_s: Time for which the client still waits, in seconds.
        """
        longest_s = self._longest_s.get(route, 0.0) * (1 - DECAY)
        longest_s = max(longest_s, left_s)
        self._longest_s[route] = longest_s
        return longest_s - left_s
