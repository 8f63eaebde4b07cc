"""Time that a request gets at the node that took it from its client."""

import math

__all__ = ["allot_time"]

# Time of a request that gives no deadline, on a route without a timeout.
DEFAULT_DEADLINE_S = 30.0


def allot_time(
    *,
    client_s: float | None,
    route_s: float | None,
    process_s: float = math.inf,
) -> float:
    """Returns the time that a request may take, in seconds.

    Args:
        client_s: Time for which the client waits; None if it did not say.
        route_s: Timeout of the route; None if it has none.
        process_s: Time until this process takes no more answers. What can't
            be answered by then is refused, as it would be cut.
    """
    bounds = [DEFAULT_DEADLINE_S] if client_s is None else [client_s]
    if route_s is not None:
        bounds = [route_s] if client_s is None else [client_s, route_s]
    return min(*bounds, process_s)
