"""Order of client accounts where a service is short of capacity.

Answers one account that sends several times what it may, or whose clients
repeat refused requests at once: it pays for that itself, not its neighbours.
"""

import math
import zlib

__all__ = ["estimate_usage", "yields_to_others"]

HASH_RANGE = 1 << 32
# Standard deviations by which the demand has to exceed the rate: the few
# requests of a small account often come close together.
CERTAINTY = 2.0


def estimate_usage(demand: float, rate: float, *, averaged_s: float) -> float:
    """Returns what an account surely sends, relative to its rate.

    Args:
        demand: Moving mean of its requests per second.
        rate: Requests per second that it may send.
        averaged_s: Time constant of that mean, in seconds.
    """
    # Standard deviation of the mean for requests at random times.
    deviation = math.sqrt(rate / (2 * averaged_s))
    return max(0.0, demand - CERTAINTY * deviation) / rate


def yields_to_others(request_id: bytes, usage: float) -> bool:
    """Returns whether requests of accounts within their shares go first.

    Of an account that sends `usage` times its share, one request in `usage` is
    within the share, so that it is never starved. All owners find the same
    requests.

    Args:
        request_id: Id of the request.
        usage: Recent demand of its account relative to the share; 0 without
            an account.
    """
    return usage * zlib.crc32(request_id) >= HASH_RANGE
