"""Outcomes at the own target, counted while a roll-out of its service runs."""

import random

from guavawing.sidecar.owner import Owner
from guavawing.traffic.durations import find_bucket
from guavawing.traffic.model import Attempt, Outcome, TargetPhase
from guavawing.traffic.rollout_counts import (
    OutcomeCounter,
    OwnerCounts,
    find_route,
)
from guavawing.traffic.rollout_state import RolloutState
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

__all__ = ["OutcomeReports"]

SERVER_ERRORS = range(500, 600)


class OutcomeReports:
    """Counts what a target answers, for each order and release anew."""

    def __init__(self, owner: Owner, target: TargetState) -> None:
        self._owner = owner
        self._target = target
        self._counter = OutcomeCounter()
        # What the counter counts for: order and release.
        self._counted: tuple[int, str] = (0, "")
        self._series = 0

    def observe(
        self,
        state: RolloutState,
        attempt: Attempt,
        outcome: Outcome,
        seconds: float,
        *,
        now: float,
    ) -> None:
        """Counts an outcome.

        Args:
            state: State of the roll-out.
            attempt: The attempt.
            outcome: Its outcome.
            seconds: Time from sending it to the outcome.
            now: Event loop's time, in seconds.
        """
        self._renew(state)
        match outcome.verdict:
            case Ran():
                failed = outcome.status in SERVER_ERRORS
            case MayHaveRun(reason=Reason.CANCELLED):
                return
            case MayHaveRun():
                failed = True
            case NotRun():
                return
        if self._target.is_cold(now=now):
            # It is slow for that reason, so only failures tell anything.
            seconds = 0.0
        self._counter.observe(attempt.path, failed=failed, seconds=seconds)

    def make_counts(self, state: RolloutState, *, now: float) -> OwnerCounts:
        """Returns the counts so far."""
        self._renew(state)
        release = self._target.release
        closing = state.closing and not state.halted
        closed = release in state.avoided or (
            closing and release != state.order.release
        )
        ready = self._target.phase is TargetPhase.READY
        cold = self._target.is_cold(now=now)
        return OwnerCounts(
            state.order.service,
            state.order.number,
            release,
            self._series,
            self._owner.pending,
            closed,
            self._target.slots if ready else 0,
            cold,
            self._counter.snapshot(),
            {} if cold else self._find_running(now),
        )

    def _renew(self, state: RolloutState) -> None:
        counted = (state.order.number, self._target.release)
        if counted != self._counted or not self._series:
            self._counted = counted
            self._counter = OutcomeCounter()
            self._series = random.getrandbits(48) | 1

    def _find_running(self, now: float) -> dict[str, tuple[int, ...]]:
        running: dict[str, list[int]] = {}
        for path, sent_at in self._owner.running():
            bucket = find_bucket(now - sent_at)
            running.setdefault(find_route(path), []).append(bucket)
        return {route: tuple(buckets) for route, buckets in running.items()}
