"""Load of one owner as one entry node observes it.

Owners report their load with every answer. A report is delayed and may be
wrong, so it is used only to determine whether an owner is full. For that, the
calls outstanding from this node are always counted, and the calls of other
nodes lose weight with the age of the report. Owners are compared by what this
node observes: outstanding calls, elapsed times and refusals.
"""

import attrs

from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = ["LoadReport", "OwnerLoad", "is_failure"]

# Half-life of the reported number of other nodes' calls, in seconds.
REPORT_HALF_LIFE_S = 1.0
# Time for which a reported drain is in effect, in seconds; longer drains are
# announced by gossip.
REPORTED_DRAIN_TTL_S = 3.0
# Time after which a mean elapsed time is discarded, in seconds.
ELAPSED_TTL_S = 5.0
# Weight of the newest call in the moving mean of elapsed times.
ELAPSED_WEIGHT = 0.2
# Maximum time for which a refusal marks an owner as full, in seconds.
MAX_BACKOFF_S = 1.0

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
    """Load that an owner reported with an answer.

    Attributes:
        slots: Calls that its target executes concurrently.
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
    """Returns whether a verdict indicates a fault of owner or target."""
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
        """Applies a load report of the owner."""
        self.report = report
        self._reported_at = now
        self._drains_until = (
            now + REPORTED_DRAIN_TTL_S if report.draining else -1.0
        )
        busy = report.running + report.queued
        self._others = float(max(0, busy - self.outstanding))

    def start(self) -> None:
        """Registers an outstanding call."""
        self.outstanding += 1

    def finish(
        self,
        *,
        now: float,
        verdict: Verdict | None = None,
        elapsed_s: float | None = None,
    ) -> None:
        """Ends an outstanding call.

        Args:
            now: Event loop's time, in seconds.
            verdict: Its outcome; None if the caller cancelled.
            elapsed_s: Time from its start, in seconds.
        """
        self.outstanding -= 1
        match verdict:
            case Ran() if elapsed_s is not None:
                self._record_elapsed(elapsed_s, now)
            case MayHaveRun() if elapsed_s is not None:
                # A quick failure must not make the owner appear fast.
                known_s = self.recent_elapsed_s(now=now) or 0.0
                self._record_elapsed(max(elapsed_s, known_s), now)
            case NotRun(reason=reason) if reason in _FULL_REASONS:
                backoff_s = verdict.retry_after_s or 0.0
                self._full_until = now + min(backoff_s, MAX_BACKOFF_S)

    def is_draining(self, *, now: float) -> bool:
        """Returns whether the owner recently reported that it drains."""
        return now <= self._drains_until

    def is_full(self, *, slots: int, now: float) -> bool:
        """Returns whether a new call is expected to wait for a slot."""
        if now < self._full_until:
            return True
        return self.estimate_busy(now=now) >= max(slots, 1)

    def estimate_busy(self, *, now: float) -> float:
        """Estimates the calls at the owner, from this node and others."""
        age_s = max(0.0, now - self._reported_at)
        decay = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return float(self.outstanding + self._others * decay)

    def recent_elapsed_s(self, *, now: float) -> float | None:
        """Returns the mean time of recent calls, or None if there are none."""
        if now - self._elapsed_at > ELAPSED_TTL_S:
            return None
        return self._elapsed_s

    def _record_elapsed(self, elapsed_s: float, now: float) -> None:
        mean = self.recent_elapsed_s(now=now)
        if mean is None:
            mean = elapsed_s
        self._elapsed_s = mean + ELAPSED_WEIGHT * (elapsed_s - mean)
        self._elapsed_at = now
