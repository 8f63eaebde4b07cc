"""Retries: when an attempt may be followed by another one.

Only what is proved not to have run, or is idempotent, is tried again; and
only from a budget that is a share of the live traffic, so that a failing
leaf gets at most `1 + ratio` attempts for each call.
"""

import attrs

from guavawing.verdict import MayHaveRun, NotRun, Ran, Verdict

__all__ = ["GiveUp", "Retry", "RetryBudget", "decide_retry"]

MAX_TOKENS = 10.0


class RetryBudget:
    """Tokens earned by first attempts and spent by retries."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS / 2

    @property
    def tokens(self) -> float:
        """Retries that can be made now."""
        return self._tokens

    def earn(self, ratio: float) -> None:
        """Takes a first attempt, which earns `ratio` of a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def spend(self) -> bool:
        """Takes one token; returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@attrs.frozen
class Retry:
    """Try again at another owner."""


@attrs.frozen
class GiveUp:
    """Answer the caller now.

    Attributes:
        budget_spent: Whether outer layers must not retry either.
    """

    budget_spent: bool


def decide_retry(
    verdict: Verdict,
    *,
    idempotent: bool,
    attempts: int,
    max_attempts: int,
    budget: RetryBudget,
) -> Retry | GiveUp:
    """Decides what follows an attempt that ended with `verdict`."""
    match verdict:
        case Ran():
            return GiveUp(budget_spent=False)
        case NotRun(budget_spent=True) | MayHaveRun(budget_spent=True):
            return GiveUp(budget_spent=True)
        case MayHaveRun() if not idempotent:
            return GiveUp(budget_spent=False)
        case NotRun(retry_after_s=None):
            return GiveUp(budget_spent=False)
    if attempts >= max_attempts or not budget.spend():
        return GiveUp(budget_spent=True)
    return Retry()
