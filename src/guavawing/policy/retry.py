"""Retry policy: whether an attempt may be followed by another one.

A call is retried only if it is proved not to have run, or is idempotent, and
only from a budget that is a ratio of the current traffic. The budget starts
empty, so over any period a leaf service gets at most `1 + ratio` attempts for
each call.

A *redirect* is an attempt after a refusal that does not depend on load: the
owner drains, is unreachable, or does not have the route yet. No target
received the call, so a redirect costs no budget; the number of redirects of a
call is bounded.

Only one layer retries. A layer that gives up sets `budget_spent`, whatever
the cause, and the layers above it then do not retry.
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
# Refusals that an immediate further attempt would get again.
_NOT_RETRYABLE = frozenset({Reason.NO_TARGET, Reason.KEY_STORE_UNAVAILABLE})


class RetryBudget:
    """Tokens earned by first attempts and spent by retries."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = 0.0

    @property
    def tokens(self) -> float:
        """Retries that are available now."""
        return self._tokens

    def earn(self, ratio: float) -> None:
        """Adds `ratio` of a token for a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def spend(self) -> bool:
        """Removes one token; returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@attrs.frozen
class Retry:
    """Send another attempt.

    Attributes:
        redirect: Whether the refusal of the last attempt is independent of
            load.
    """

    redirect: bool = False


@attrs.frozen
class GiveUp:
    """Answer the caller now.

    Attributes:
        budget_spent: Whether the layers above must not retry either.
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
        verdict: Outcome of the attempt.
        idempotent: Whether the call may be executed more than once.
        attempts: Attempts made, not counting those followed by a redirect.
        max_attempts: Maximum number of attempts of one call.
        budget: Budget of the service.
        redirects: Redirects made so far.
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
