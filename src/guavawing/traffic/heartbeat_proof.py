"""Heartbeats that a process has to verify before it believes them.

Answers the load of a node that is killed right after it acknowledged the
departure of its target: heartbeats from before the departure arrive seconds
late, and nothing on this VM tells the next process of the node that the target
leaves. A heartbeat that introduces a process of the target therefore counts
only once that process passes a health check, which it fails from its departure
on. If health checks fail for a target that has not left, its heartbeats count
after they have come in order for longer than a heartbeat is late.
"""

from guavawing.traffic.model import Incarnation, TargetReport
from guavawing.traffic.target_state import TargetState

__all__ = ["HeartbeatProof"]

# Time for which the heartbeats of a target must have come without a passed
# health check until they count, in seconds: a heartbeat that was sent before a
# departure arrives no later than this.
MAX_LATE_S = 10.0


class HeartbeatProof:
    """Holds the newest heartbeat of a target that is not verified.

    Attributes:
        pending: The heartbeat; None if there is none to verify.
    """

    __slots__ = ("_first_sequence", "_since", "_state", "pending")

    def __init__(self, state: TargetState) -> None:
        """Creates a proof without a heartbeat.

        Args:
            state: State of the target, of which only departures are read.
        """
        self._state = state
        self._since = 0.0
        self._first_sequence = 0
        self.pending: TargetReport | None = None

    def admit(self, report: TargetReport, *, now: float) -> bool:
        """Returns whether a heartbeat may be applied; holds it if not.

        Args:
            report: The heartbeat.
            now: Event loop's time, in seconds.
        """
        if report.draining or not self._state.introduces(report, now=now):
            return True
        known = self.pending
        if known is None or _incarnation(known) != _incarnation(report):
            self.pending = report
            self._since, self._first_sequence = now, report.sequence
            return False
        if report.sequence > known.sequence:
            self.pending = report
        in_order = report.sequence > self._first_sequence
        if in_order and now - self._since >= MAX_LATE_S:
            self.pending = None
            return True
        return False

    def confirm(self, target_id: str, *, now: float) -> TargetReport | None:
        """Returns the heartbeat that a passed health check verifies, if any.

        Args:
            target_id: Id that the target gave in its answer.
            now: Event loop's time, in seconds.
        """
        report = self.pending
        if report is None or report.id != target_id:
            return None
        self.pending = None
        # The target may have announced its departure in the meantime.
        return report if self._state.introduces(report, now=now) else None

    def find_start(self, target_id: str) -> int:
        """Returns the start that the held heartbeat of a target names.

        Args:
            target_id: Id of the target.

        Returns:
            Unix time in milliseconds; 0 if there is no such heartbeat.
        """
        report = self.pending
        same = report is not None and report.id == target_id
        return report.born_ms if same and report is not None else 0


def _incarnation(report: TargetReport) -> Incarnation:
    return Incarnation(report.id, report.born_ms)
