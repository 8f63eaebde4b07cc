"""What follows an attempt that was not served."""

import enum

from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = ["Step", "next_step", "settle_verdict"]

# Time that must be left for another attempt to be of use, in seconds.
MIN_TIME_LEFT_S = 0.02


class Step(enum.Enum):
    """What the entry node does next with a request."""

    # No target was asked: another owner may have room.
    ASK_ANOTHER = enum.auto()
    # A target was asked: another one costs a retry.
    RETRY = enum.auto()
    GIVE_UP = enum.auto()


def settle_verdict(
    verdict: NotRun | MayHaveRun, *, broke: MayHaveRun | None
) -> NotRun | MayHaveRun:
    """Returns what is true of a request after all of its attempts.

    Args:
        verdict: How the last attempt ended, or why there was none.
        broke: An earlier attempt that may have run, if any.
    """
    if isinstance(verdict, NotRun) and broke is not None:
        return broke
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
    """Decides what follows an attempt.

    Args:
        verdict: How it ended.
        common: Whether targets of the service fail often: then another one
            would fail as well.
        idempotent: Whether the request may run more than once.
        sent: Attempts that have reached a target.
        max_sent: Most targets that the request may be sent to.
        asked: Owners that have been asked.
        max_asked: Most owners to ask.
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
