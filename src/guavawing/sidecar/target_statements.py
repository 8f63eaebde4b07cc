"""What the target on this VM states about itself in its answers."""

from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import Incarnation, TargetNotice, TargetRecord
from guavawing.traffic.target_state import TargetState

__all__ = ["TargetStatements"]

# Relative change of a limit from which it is logged: a target may name another
# one in each answer.
MIN_LOGGED_CHANGE = 0.25


class TargetStatements:
    """Applies statements of the target to its state and logs their effects."""

    def __init__(
        self, state: TargetState, *, log: DecisionLog, metrics: SidecarMetrics
    ) -> None:
        self._state = state
        self._log = log
        self._metrics = metrics
        self._logged_limit: float | None = None
        self._logged_unreadable = ""
        self._logged_leaving: Incarnation | None = None

    def apply_notice(
        self,
        notice: TargetNotice,
        *,
        incarnation: Incarnation,
        sent_at: float,
        now: float,
    ) -> bool:
        """Applies the statements of an answer.

        Args:
            notice: The statements.
            incarnation: Process of the target to which the request was sent.
            sent_at: Event loop's time at which it was sent, in seconds.
            now: Event loop's time, in seconds.

        Returns:
            Whether the limit or the phase of the target changed.
        """
        target_id = incarnation.target_id
        if notice.unreadable:
            self._metrics.unreadable.inc({"source": "answer"})
            if notice.unreadable != self._logged_unreadable:
                self._logged_unreadable = notice.unreadable
                self._log.state_change(
                    "target-notice-unreadable",
                    target=target_id,
                    value=notice.unreadable,
                )
        if notice.leaving and incarnation != self._logged_leaving:
            self._logged_leaving = incarnation
            self._log.state_change("target-leaving", target=target_id)
        changed = self._state.apply_notice(
            notice, incarnation=incarnation, sent_at=sent_at, now=now
        )
        asked_s = round(now - sent_at, 3)
        self._log_limit(source="answer", asked_s=asked_s)
        return changed

    def apply_peer_record(self, record: TargetRecord, *, now: float) -> bool:
        """Applies what a peer has recorded about the target.

        Returns:
            Whether the limit or the phase of the target changed.
        """
        changed = False
        if record.departure is not None:
            changed = self._state.apply_known_departure(
                record.departure, now=now
            )
        if record.limit is not None:
            limited = self._state.apply_known_limit(record.limit, now=now)
            changed = changed or limited
            self._log_limit(source="peer")
        return changed

    def _log_limit(self, **inputs: object) -> None:
        before, per_s = self._logged_limit, self._state.limit_per_s
        if before == per_s:
            return
        if before is not None and per_s is not None:
            change = abs(per_s - before)
            if change < MIN_LOGGED_CHANGE * max(per_s, before):
                return
        self._logged_limit = per_s
        self._log.state_change(
            "target-limit",
            target=self._state.target_id,
            per_s=per_s,
            before=before,
            **inputs,
        )
