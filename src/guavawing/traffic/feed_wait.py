"""How long a node that follows the store waits without a sign of life.

Load: connections that fall silent without a reset at all nodes at the same
time, while the operator publishes versions. A connection lost like that looks
the same as a store without changes. The wait for a change, and for the answer
after it, therefore end early enough to read a version again and to pass it on
within the time in which it has to be in force.
"""

import attrs

__all__ = ["FeedWait", "limit_feed_wait"]

# Share of the time to apply a version that may pass without a sign of life;
# the rest is for another call and for passing the version on.
SILENT_SHARE = 0.7
# Bounds of the time for an answer after the wait, in seconds: the shortest is
# above the latency of a slow store.
MIN_ANSWER_S = 1.0
MAX_ANSWER_S = 1.5
# Bounds of the wait for a change, in seconds.
MIN_WAIT_S = 0.25
MAX_WAIT_S = 10.0


@attrs.frozen
class FeedWait:
    """Time limits of a call of the change feed.

    Attributes:
        wait_s: Longest wait for a change that is requested, in seconds.
        answer_s: Time until the answer begins beyond that wait, in seconds.
    """

    wait_s: float = MAX_WAIT_S
    answer_s: float = MAX_ANSWER_S


def limit_feed_wait(apply_s: float) -> FeedWait:
    """Returns the time limits for a table of configuration.

    Args:
        apply_s: Time within which a new version has to be in force, in
            seconds.
    """
    silent_s = SILENT_SHARE * apply_s
    answer_s = min(max(silent_s / 2, MIN_ANSWER_S), MAX_ANSWER_S)
    wait_s = min(max(silent_s - answer_s, MIN_WAIT_S), MAX_WAIT_S)
    return FeedWait(wait_s, answer_s)
