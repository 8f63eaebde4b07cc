"""Simulates retries in a chain of services, without sockets.

The retry decisions are those of production. Each layer is an entry node with
its own retry budget, and the last layer calls a leaf that fails. A service
whose call fails returns an error itself. The error either propagates the
budget-spent flag of the layer below or, as a baseline, drops it.
"""

import random
from collections.abc import Sequence

import attrs

from guavawing.policy.retry import (
    GiveUp,
    Retry,
    RetryBudget,
    decide_retry,
)
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = ["ChainPlan", "run_chain"]


@attrs.frozen
class ChainPlan:
    """Shape of a chain and the load offered to it.

    Attributes:
        depth: Number of layers.
        calls: Calls offered to the first layer.
        ratio: Retries allowed for each first attempt.
        max_attempts: Most attempts of one call at one layer.
        failing: Share of the leaf's executions that fail.
        refusing: Share of the failures that are refusals.
        hides_flag: Whether services drop the budget-spent flag of the layer
            below.
        seed: Seed of the random choices.
    """

    depth: int = 18
    calls: int = 1_000
    ratio: float = 0.1
    max_attempts: int = 3
    failing: float = 1.0
    refusing: float = 0.5
    hides_flag: bool = False
    seed: int = 1


class _Chain:
    def __init__(self, plan: ChainPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.budgets: Sequence[RetryBudget] = [
            RetryBudget() for _ in range(plan.depth)
        ]
        self.leaf_attempts = 0

    def call(self, layer: int) -> Verdict:
        """Makes a call at a layer and returns its verdict."""
        budget = self.budgets[layer]
        budget.earn(self.plan.ratio)
        attempts = 0
        while True:
            attempts += 1
            verdict = self._execute(layer)
            decision = decide_retry(
                verdict,
                idempotent=True,
                attempts=attempts,
                max_attempts=self.plan.max_attempts,
                budget=budget,
            )
            match decision:
                case Retry():
                    continue
                case GiveUp(budget_spent=spent) if isinstance(verdict, Ran):
                    assert not spent
                    return verdict
                case GiveUp(budget_spent=spent):
                    return attrs.evolve(verdict, budget_spent=spent)

    def _execute(self, layer: int) -> Verdict:
        if layer + 1 == self.plan.depth:
            return self._call_leaf()
        verdict = self.call(layer + 1)
        if self.plan.hides_flag and not isinstance(verdict, Ran):
            return attrs.evolve(verdict, budget_spent=False)
        return verdict

    def _call_leaf(self) -> Verdict:
        self.leaf_attempts += 1
        if self.rng.random() >= self.plan.failing:
            return Ran()
        if self.rng.random() < self.plan.refusing:
            return NotRun(Reason.QUEUE_FULL, 0.0)
        return MayHaveRun(Reason.TARGET_BROKE)


def run_chain(plan: ChainPlan) -> float:
    """Returns the number of attempts at the leaf per offered call."""
    chain = _Chain(plan)
    for _ in range(plan.calls):
        chain.call(0)
    return chain.leaf_attempts / plan.calls
