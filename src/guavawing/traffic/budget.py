"""Retry budgets of the services that one node sends requests to.

All nodes share a budget for each service: a ratio of its requests and a fixed
allowance in one window. No node asks another before a retry, so each one
earns from its own requests, which follow where the load is, and takes an equal
part of the allowance. A repeated execution makes its own calls again, and
those count as repeats at the services that it calls; a node charges them to
its budgets when it repeats an execution, as it can't tell them from others.
"""

import math

__all__ = ["RetryBudget"]

# Share of the fleet's ratio that a node's requests earn. With what is carried
# over CARRY_S of a window of ten seconds, all nodes stay below the ratio.
EARNED_RATIO_SHARE = 0.7
# Share of the fleet's allowance that the nodes divide. The rest covers nodes
# that know too few others, and processes that start again.
DIVIDED_ALLOWANCE_SHARE = 0.7
# Time constant with which earned retries that are not spent fade, in seconds.
CARRY_S = 4.0
# Calls of a repeated execution that are charged to each other service.
NESTED_CALLS = 1.0
# Time after an urgent request found no retry left in which less urgent ones
# get none, in seconds: a few of the times in which a retry is earned.
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
        """Takes the number of nodes that share the allowance."""
        self._nodes = max(nodes, 1)

    def earn(self, service: str, *, now: float) -> None:
        """Takes a first attempt.

        Args:
            service: Service that it is for.
            now: Event loop's time, in seconds.
        """
        self._account(service).earn(self._ratio, part=self._part, now=now)

    def spend(self, service: str, *, urgent: bool, now: float) -> bool:
        """Takes one retry; returns False if there is none for the request.

        Args:
            service: Service that the retry is for.
            urgent: Whether no requests of the service are more urgent. Where
                retries are short, less urgent ones are refused: their clients
                come back, while a failed call of a target throws away what
                its caller has done.
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
    """What one service may still spend here."""

    __slots__ = ("_earned_at", "_recent", "_short_until", "_tokens")

    def __init__(self, tokens: float) -> None:
        self._tokens = tokens
        # Earned lately, faded since.
        self._recent = 0.0
        self._earned_at = 0.0
        self._short_until = -math.inf

    def earn(self, ratio: float, *, part: float, now: float) -> None:
        self._fade(now)
        self._recent += ratio
        self._tokens = min(self._tokens + ratio, part + self._recent)

    def spend(self, *, urgent: bool, part: float, now: float) -> bool:
        self._fade(now)
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

    def _fade(self, now: float) -> None:
        self._recent *= math.exp((self._earned_at - now) / CARRY_S)
        self._earned_at = now
