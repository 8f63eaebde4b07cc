"""Retry budget of one service at one node.

All nodes share a budget for each service: a ratio of its requests and a fixed
allowance. No node asks another before a retry, so each one earns from its own
requests and takes an equal part of the allowance.
"""

__all__ = ["RetryAllowance"]

# Share of the fleet's ratio that is spent. The rest covers the calls that
# repeated executions make themselves, which no node can tell from others.
SPENT_RATIO_SHARE = 0.5
# Share of the fleet's allowance that the nodes divide, for the same reason.
SPENT_ALLOWANCE_SHARE = 0.6


class RetryAllowance:
    """Tokens that first attempts earn and retries spend."""

    __slots__ = ("_cap", "_ratio", "_tokens")

    def __init__(self, *, ratio: float, allowance: float, nodes: int) -> None:
        """Creates a full allowance.

        Args:
            ratio: Retries that the fleet may make for each request.
            allowance: Retries beyond that in one window, for the fleet.
            nodes: Nodes that share the allowance.
        """
        self._ratio = ratio * SPENT_RATIO_SHARE
        self._cap = 0.0
        self._tokens = 0.0
        self.resize(allowance=allowance, nodes=nodes)
        self._tokens = self._cap

    def resize(self, *, allowance: float, nodes: int) -> None:
        """Takes the number of nodes that share the allowance."""
        self._cap = SPENT_ALLOWANCE_SHARE * allowance / max(nodes, 1)
        self._tokens = min(self._tokens, self._cap)

    def earn(self) -> None:
        """Takes a first attempt."""
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Takes one token; returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
