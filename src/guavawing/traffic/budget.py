"""Retry budgets of the services that one node sends requests to.

All nodes share a budget for each service: a ratio of its requests plus a fixed
allowance per window. Nodes do not coordinate before a retry: each one earns
tokens from its own requests, so the budget follows the load, and has an equal
part of the allowance. A repeated execution also repeats its nested calls, which
count as retries at the services called. As these cannot be distinguished from
other calls there, a node charges them to its budgets when it repeats an
execution.
"""

import math

__all__ = ["RetryBudget"]

# Share of the fleet's ratio that a node's requests earn. Including what is
# carried over EARNED_DECAY_S into a window of ten seconds, all nodes together
# stay below the ratio.
EARNED_RATIO_SHARE = 0.7
# Share of the fleet's allowance that is divided among the nodes. The rest
# covers nodes that have not discovered all others, and restarted processes.
DIVIDED_ALLOWANCE_SHARE = 0.7
# Time constant of the decay of earned, unspent retries, in seconds.
EARNED_DECAY_S = 4.0
# Nested calls charged to each other service for a repeated execution.
NESTED_CALLS = 1.0
# Time for which less urgent requests get no retry after an urgent one was
# refused a retry, in seconds: several times the interval in which one retry is
# earned.
SHORTAGE_S = 2.0


class RetryBudget:
    """This node's part of the budgets of all services."""

    __slots__ = ("_allowance", "_nodes", "_ratio", "_services")

    def __init__(self, *, ratio: float, allowance: float, nodes: int) -> None:
        """Creates full budgets.

        Args:
            ratio: Retries that the fleet may make for each request.
            allowance: Retries beyond that in one window, for the fleet.
            nodes: Nodes that share the allowance.
        """
        self._ratio = ratio * EARNED_RATIO_SHARE
        self._allowance = allowance * DIVIDED_ALLOWANCE_SHARE
        self._nodes = max(nodes, 1)
        self._services: dict[str, _Account] = {}

    def resize(self, nodes: int) -> None:
        """Sets the number of nodes that share the allowance."""
        self._nodes = max(nodes, 1)

    def earn(self, service: str, *, now: float) -> None:
        """Adds the tokens earned by a first attempt.

        Args:
            service: Service that it is for.
            now: Event loop's time, in seconds.
        """
        self._account(service).earn(self._ratio, part=self._part, now=now)

    def spend(self, service: str, *, urgent: bool, now: float) -> bool:
        """Spends one retry; returns False if none is available.

        Args:
            service: Service that the retry is for.
            urgent: Whether no requests of the service are more urgent. When
                retries are scarce, less urgent ones are refused: their clients
                try again, while a failed nested call wastes the work that its
                caller has done.
            now: Event loop's time, in seconds.
        """
        account = self._account(service)
        if not account.spend(urgent=urgent, part=self._part, now=now):
            return False
        for other, each in self._services.items():
            if other != service:
                each.charge(NESTED_CALLS, part=self._part)
        return True

    @property
    def _part(self) -> float:
        return self._allowance / self._nodes

    def _account(self, service: str) -> "_Account":
        account = self._services.get(service)
        if account is None:
            account = self._services[service] = _Account(self._part)
        return account


class _Account:
    """Token bucket of one service at this node."""

    __slots__ = ("_earned_at", "_recent", "_short_until", "_tokens")

    def __init__(self, tokens: float) -> None:
        self._tokens = tokens
        # Tokens earned, decayed since.
        self._recent = 0.0
        self._earned_at = 0.0
        self._short_until = -math.inf

    def earn(self, ratio: float, *, part: float, now: float) -> None:
        self._decay(now)
        self._recent += ratio
        self._tokens = min(self._tokens + ratio, part + self._recent)

    def spend(self, *, urgent: bool, part: float, now: float) -> bool:
        self._decay(now)
        self._tokens = min(self._tokens, part + self._recent)
        if not urgent and now < self._short_until:
            return False
        if self._tokens < 1.0:
            if urgent:
                self._short_until = now + SHORTAGE_S
            return False
        self._tokens -= 1.0
        return True

    def charge(self, calls: float, *, part: float) -> None:
        self._tokens = max(self._tokens - calls, -part - self._recent)

    def _decay(self, now: float) -> None:
        self._recent *= math.exp((self._earned_at - now) / EARNED_DECAY_S)
        self._earned_at = now
