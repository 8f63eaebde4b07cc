"""Time limit of a request at its entry node."""

import math

__all__ = ["compute_time_limit"]

# Time limit of a request without a deadline, on a route without a timeout, in
# seconds.
DEFAULT_DEADLINE_S = 30.0


def compute_time_limit(
    *,
    client_s: float | None,
    route_s: float | None,
    process_s: float = math.inf,
) -> float:
    """Returns the time limit of a request, in seconds.

    Args:
        client_s: Time for which the client waits, in seconds; None if it sent
            none.
        route_s: Timeout of the route, in seconds; None if it has none.
        process_s: Time until this process ends, in seconds. A request that
            cannot be answered within it must be refused, as its answer would
            be truncated.
    """
    bounds = [DEFAULT_DEADLINE_S] if client_s is None else [client_s]
    if route_s is not None:
        bounds = [route_s] if client_s is None else [client_s, route_s]
    return min(*bounds, process_s)
