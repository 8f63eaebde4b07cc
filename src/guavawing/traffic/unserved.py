"""Decision on the next step after an attempt that was not served."""

import enum

from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = ["Step", "combine_verdicts", "next_step"]

# Minimum time left for another attempt, in seconds.
MIN_TIME_LEFT_S = 0.02


class Step(enum.Enum):
    """Next step of the entry node for a request."""

    # No target received the request: another owner may have capacity.
    ASK_ANOTHER = enum.auto()
    # A target received the request: another attempt costs a retry.
    RETRY = enum.auto()
    GIVE_UP = enum.auto()


def combine_verdicts(
    verdict: NotRun | MayHaveRun, *, unknown_outcome: MayHaveRun | None
) -> NotRun | MayHaveRun:
    """Returns the verdict of a request after all of its attempts.

    Args:
        verdict: Outcome of the last attempt, or why there was none.
        unknown_outcome: Verdict of an earlier attempt that may have run, if
            any.
    """
    if isinstance(verdict, NotRun) and unknown_outcome is not None:
        return unknown_outcome
    return verdict


def next_step(
    verdict: Verdict,
    *,
    common: bool,
    idempotent: bool,
    sent: int,
    max_sent: int,
    asked: int,
    max_asked: int,
    left_s: float,
) -> Step:
    """Returns the step that follows an attempt.

    Args:
        verdict: Outcome of the attempt.
        common: Whether failures are common to the targets of the service, so
            that another one is likely to fail as well.
        idempotent: Whether the request may run more than once.
        sent: Attempts that have reached a target.
        max_sent: Maximum number of targets that the request may be sent to.
        asked: Owners that the request was sent to.
        max_asked: Maximum number of owners to send the request to.
        left_s: Time left for the request, in seconds.
    """
    if left_s < MIN_TIME_LEFT_S or asked >= max_asked:
        return Step.GIVE_UP
    match verdict:
        case NotRun(reason=Reason.TARGET_SHED):
            return Step.RETRY if sent < max_sent else Step.GIVE_UP
        case NotRun(reason=Reason.DEADLINE_PASSED | Reason.CANCELLED):
            return Step.GIVE_UP
        case NotRun():
            return Step.ASK_ANOTHER
        case MayHaveRun(reason=Reason.TARGET_TIMEOUT):
            return Step.GIVE_UP
        case Ran() if common:
            return Step.GIVE_UP
        case MayHaveRun() | Ran():
            if idempotent and sent < max_sent:
                return Step.RETRY
    return Step.GIVE_UP
