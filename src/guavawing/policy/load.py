"""Load of one owner as one entry node sees it.

Owners report their load with every answer. A report lags and may be wrong,
so it tells only whether an owner is full, and there what this node has
outstanding itself is always counted and the share of others fades with the
age of the report. Which owner is the better one is told by what is seen
here: outstanding calls, elapsed times and refusals.
"""

import attrs

from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = ["LoadReport", "OwnerLoad", "is_failure"]

# Time in which what a report says of other nodes' calls halves in weight.
REPORT_HALF_LIFE_S = 1.0
# A reported drain is believed this long; gossip tells of longer ones.
REPORTED_DRAIN_TTL_S = 3.0
# Time after which an elapsed time says nothing of the present.
ELAPSED_TTL_S = 5.0
# Weight of the newest call in the mean elapsed time.
ELAPSED_WEIGHT = 0.2
# Longest time for which a refusal marks an owner as full.
MAX_BACK_OFF_S = 1.0

_FAILURE_REASONS = frozenset(
    {
        Reason.OWNER_UNREACHABLE,
        Reason.OWNER_LOST,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_TIMEOUT,
        Reason.TARGET_BROKE,
        Reason.ANSWER_TRUNCATED,
    }
)
_FULL_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.CANNOT_MEET_DEADLINE, Reason.EVICTED}
)


@attrs.frozen
class LoadReport:
    """What an owner said of its load with an answer.

    Attributes:
        slots: Calls that its target executes at a time.
        running: Calls that hold a slot.
        queued: Calls that wait for a slot.
        draining: Whether it refuses new calls.
        key_epoch: Epoch that new keys bound to it carry.
    """

    slots: int
    running: int
    queued: int
    draining: bool
    key_epoch: int


def is_failure(verdict: Verdict) -> bool:
    """Returns whether a verdict speaks against the owner or its target."""
    return verdict.reason in _FAILURE_REASONS


class OwnerLoad:
    """Reports, outstanding calls and elapsed times of one owner.

    Attributes:
        outstanding: Calls of this node that the owner has not answered.
        report: Its last report, if any.
    """

    __slots__ = (
        "_drains_until",
        "_elapsed_at",
        "_elapsed_s",
        "_full_until",
        "_others",
        "_reported_at",
        "outstanding",
        "report",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.report: LoadReport | None = None
        self._reported_at = 0.0
        self._drains_until = -1.0
        self._others = 0.0
        self._elapsed_s: float | None = None
        self._elapsed_at = 0.0
        self._full_until = 0.0

    def apply_report(self, report: LoadReport, *, now: float) -> None:
        """Takes the load that the owner reported."""
        self.report = report
        self._reported_at = now
        self._drains_until = (
            now + REPORTED_DRAIN_TTL_S if report.draining else -1.0
        )
        busy = report.running + report.queued
        self._others = float(max(0, busy - self.outstanding))

    def start(self) -> None:
        """Counts a call as outstanding."""
        self.outstanding += 1

    def finish(
        self,
        *,
        now: float,
        verdict: Verdict | None = None,
        elapsed_s: float | None = None,
    ) -> None:
        """Takes the end of an outstanding call.

        Args:
            now: Event loop's time, in seconds.
            verdict: How it ended; None if the caller left.
            elapsed_s: Time from its start, in seconds.
        """
        self.outstanding -= 1
        match verdict:
            case Ran() if elapsed_s is not None:
                self._observe(elapsed_s, now)
            case MayHaveRun() if elapsed_s is not None:
                # An owner that breaks calls quickly is not a quick one.
                known_s = self.recent_elapsed_s(now=now) or 0.0
                self._observe(max(elapsed_s, known_s), now)
            case NotRun(reason=reason) if reason in _FULL_REASONS:
                back_off_s = verdict.retry_after_s or 0.0
                self._full_until = now + min(back_off_s, MAX_BACK_OFF_S)

    def is_draining(self, *, now: float) -> bool:
        """Returns whether the owner lately said that it drains."""
        return now <= self._drains_until

    def is_full(self, *, slots: int, now: float) -> bool:
        """Returns whether a call would have to wait, as far as is known."""
        if now < self._full_until:
            return True
        return self.estimate_busy(now=now) >= max(slots, 1)

    def estimate_busy(self, *, now: float) -> float:
        """Returns the calls that the owner has, this node's and others'."""
        age_s = max(0.0, now - self._reported_at)
        fading = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return float(self.outstanding + self._others * fading)

    def recent_elapsed_s(self, *, now: float) -> float | None:
        """Returns the mean time of late calls, or None if none is known."""
        if now - self._elapsed_at > ELAPSED_TTL_S:
            return None
        return self._elapsed_s

    def _observe(self, elapsed_s: float, now: float) -> None:
        mean = self.recent_elapsed_s(now=now)
        if mean is None:
            mean = elapsed_s
        self._elapsed_s = mean + ELAPSED_WEIGHT * (elapsed_s - mean)
        self._elapsed_at = now
