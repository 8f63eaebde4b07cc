"""Durations that nearly all requests of a kind stay below.

Load: kinds of request of which a few take many times the mean, as when routes
with short and with long work are of one kind. Whether a request still ends in
time can't be told from the mean then.
"""

import math
from collections.abc import Hashable

__all__ = ["BUCKETS", "MIN_KNOWN", "Durations", "find_bucket"]

# First bound of the buckets of durations in seconds, and buckets for each
# doubling.
FIRST_BOUND_S = 0.01
BUCKETS_PER_DOUBLING = 3
BUCKETS = 32
# Share of the requests that are nearly all.
NEARLY_ALL = 0.99
# Requests of a kind from which the time of nearly all of them is known.
MIN_KNOWN = 20
# Maximum number of kinds; the one that was seen first is forgotten.
MAX_KINDS = 500
# Weight, in requests, at which the counts of a kind are halved, so that they
# follow what its requests take now.
MAX_WEIGHT = 1000


def find_bucket(seconds: float) -> int:
    """Returns the bucket of a duration."""
    if seconds <= FIRST_BOUND_S:
        return 0
    doublings = math.log2(seconds / FIRST_BOUND_S)
    return min(BUCKETS - 1, 1 + int(BUCKETS_PER_DOUBLING * doublings))


class Durations:
    """Distribution of the durations of requests, for each kind."""

    __slots__ = ("_counts", "_weights")

    def __init__(self) -> None:
        self._counts: dict[Hashable, list[int]] = {}
        self._weights: dict[Hashable, int] = {}

    def observe(self, kind: Hashable, seconds: float) -> None:
        """Counts a duration, in seconds."""
        counts = self._counts.get(kind)
        if counts is None:
            if len(self._counts) >= MAX_KINDS:
                oldest = next(iter(self._counts))
                del self._counts[oldest], self._weights[oldest]
            counts = self._counts[kind] = [0] * BUCKETS
        counts[find_bucket(seconds)] += 1
        weight = self._weights.get(kind, 0) + 1
        if weight >= MAX_WEIGHT:
            counts[:] = [count // 2 for count in counts]
            weight = sum(counts)
        self._weights[kind] = weight

    def find_longest_s(self, kind: Hashable) -> float | None:
        """Returns the time below which nearly all requests of a kind stay.

        Args:
            kind: Kind of request.

        Returns:
            The time, in seconds; None if there were too few to tell.
        """
        weight = self._weights.get(kind, 0)
        if weight < MIN_KNOWN:
            return None
        above = (1 - NEARLY_ALL) * weight
        counts = self._counts[kind]
        bucket = BUCKETS - 1
        while bucket and counts[bucket] <= above:
            above -= counts[bucket]
            bucket -= 1
        return float(FIRST_BOUND_S * 2 ** (bucket / BUCKETS_PER_DOUBLING))
