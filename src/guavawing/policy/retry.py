"""Retries: when an attempt may be followed by another one.

Only what is proved not to have run, or is idempotent, is tried again; and
only from a budget that is a share of the live traffic. The budget starts
empty, so in a run of any length a leaf gets at most `1 + ratio` attempts for
each call.

A *redirect* is an attempt after a refusal that says nothing of load: the
owner drains, could not be reached, or does not know the route yet. No target
was asked, so a redirect takes nothing from the budget; its number is bounded
for each call.

One layer retries. Whoever gives up says so with `budget_spent`, whatever the
cause, and a layer above that reads it does not try again.
"""

import attrs

from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = [
    "GiveUp",
    "Retry",
    "RetryBudget",
    "decide_retry",
    "is_redirect",
]

MAX_TOKENS = 10.0
MAX_REDIRECTS = 8
_REDIRECTS = frozenset(
    {
        Reason.DRAINING,
        Reason.KEY_EXPIRED,
        Reason.KEY_RELEASED,
        Reason.OWNER_REPLACED,
        Reason.OWNER_UNREACHABLE,
        Reason.UNKNOWN_ROUTE,
    }
)
# What an attempt right after would meet again.
_NOT_RETRYABLE = frozenset({Reason.NO_TARGET, Reason.KEY_STORE_UNAVAILABLE})


class RetryBudget:
    """Tokens earned by first attempts and spent by retries."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = 0.0

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
    """Try again at another owner.

    Attributes:
        redirect: Whether the attempt before says nothing of load.
    """

    redirect: bool = False


@attrs.frozen
class GiveUp:
    """Answer the caller now.

    Attributes:
        budget_spent: Whether outer layers must not retry either.
    """

    budget_spent: bool


def is_redirect(verdict: Verdict) -> bool:
    """Returns whether an attempt after `verdict` costs no budget."""
    return isinstance(verdict, NotRun) and verdict.reason in _REDIRECTS


def decide_retry(
    verdict: Verdict,
    *,
    idempotent: bool,
    attempts: int,
    max_attempts: int,
    budget: RetryBudget,
    redirects: int = 0,
) -> Retry | GiveUp:
    """Decides what follows an attempt that ended with `verdict`.

    Args:
        verdict: How the attempt ended.
        idempotent: Whether executing the call twice is harmless.
        attempts: Attempts made, without those that a redirect followed.
        max_attempts: Most attempts of one call.
        budget: Budget of the service.
        redirects: Redirects made.
    """
    match verdict:
        case Ran():
            return GiveUp(budget_spent=False)
        case NotRun(budget_spent=True) | MayHaveRun(budget_spent=True):
            return GiveUp(budget_spent=True)
        case MayHaveRun() if not idempotent:
            return GiveUp(budget_spent=True)
        case NotRun(retry_after_s=None):
            return GiveUp(budget_spent=True)
        case NotRun(reason=reason) if reason in _NOT_RETRYABLE:
            return GiveUp(budget_spent=True)
    if is_redirect(verdict) and redirects < MAX_REDIRECTS:
        return Retry(redirect=True)
    if attempts >= max_attempts or not budget.spend():
        return GiveUp(budget_spent=True)
    return Retry()
