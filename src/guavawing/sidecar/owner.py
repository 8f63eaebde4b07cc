"""Owner role of a node: admission of attempts to the target on its VM."""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Iterator

import attrs

from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.link_pacer import LinkPacer
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.target_pool import Execution, TargetPool
from guavawing.sidecar.target_statements import TargetStatements
from guavawing.traffic.durations import Durations
from guavawing.traffic.fair_share import yields_to_others
from guavawing.traffic.model import (
    Attempt,
    Incarnation,
    LoadReport,
    Outcome,
    TargetNotice,
    TargetPhase,
    TargetRecord,
)
from guavawing.traffic.neighbours import NeighbourLoad, Neighbours
from guavawing.traffic.process_end import ProcessEnd
from guavawing.traffic.slot_offers import SlotOffers
from guavawing.traffic.slot_queue import (
    Admit,
    Queued,
    Refuse,
    SlotQueue,
    Waiter,
)
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import (
    MayHaveRun,
    NotRun,
    Ran,
    Reason,
    Verdict,
    verdict_name,
)

__all__ = ["Owner"]

OutcomeListener = Callable[[Outcome], None]

# Retry-After in seconds while the target is unknown or gone.
NO_TARGET_RETRY_AFTER_S = 0.4
# Shortest expected wait for which an attempt is passed on, in seconds: below
# it, the way to the other owner gains little.
MIN_PASSED_WAIT_S = 0.02
# Share of refused requests above which none is passed on: a free slot is taken
# by another before the request arrives, which has then lost its place here.
MAX_PASSED_PRESSURE = 0.05
# Retry-After in seconds of a refusal that passes an attempt on.
PASSED_RETRY_AFTER_S = 0.04
# Share of the drain time after which queued attempts are no longer sent.
DRAIN_SHARE = 0.5
# Wait for the link that is always allowed, also if a large answer will miss its
# latency target.
MIN_LINK_WAIT_S = 0.2
# Factor of the execution time of a target that has just started.
COLD_SLOWDOWN = 2.0
# Time for which a slot stays occupied after its request was aborted, in
# seconds. Within it a target on the same VM sees the connection close and
# cancels the request before it receives the next one.
SLOT_HOLD_S = 0.02
# An attempt is logged as slow if it took this many times the mean.
SLOW_FACTOR = 4.0
MS_PER_S = 1000


@attrs.define(eq=False)
class _PendingAttempt:
    """An attempt that is queued or runs at this owner."""

    id: int
    attempt: Attempt
    on_outcome: OutcomeListener | None
    offered_at: float
    sent_at: float = 0.0
    timer: asyncio.TimerHandle | None = None
    execution: Execution | None = None


class Owner:
    """Admits attempts to the target and reports their outcomes.

    Attributes:
        pacer: Paces large answers on the link of this VM.
        stopping: Whether attempts of other nodes are refused because this
            process stops.
        process_end: End of this process, in the event loop's time.
        on_phase: Called when the phase or the slots of the target change.
        admits_release: Returns whether a roll-out allows an attempt here.
        on_executed: Called with each attempt that the target has executed, its
            outcome and the time that it took, in seconds.
    """

    def __init__(
        self,
        *,
        service: str,
        state: TargetState,
        pool: TargetPool,
        drain_s: float,
        pacer: LinkPacer,
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._service = service
        self._state = state
        self._pool = pool
        self._drain_s = drain_s
        self.pacer = pacer
        self._log = log
        self._metrics = metrics
        self._queue = SlotQueue()
        # Times of executions, by kind of request.
        self._durations = Durations()
        self._offers = SlotOffers()
        self._neighbours = Neighbours()
        self._pending: dict[int, _PendingAttempt] = {}
        self._ids = itertools.count(1)
        # Fires when the target's rate limit admits the next queued attempt.
        self._limit_timer: asyncio.TimerHandle | None = None
        self._statements = TargetStatements(state, log=log, metrics=metrics)
        self.stopping = False
        self.process_end = ProcessEnd()
        self.on_phase: Callable[[], None] = lambda: None
        self.admits_release: Callable[[Attempt], bool] = lambda _: True
        self.on_executed: Callable[[Attempt, Outcome, float], None] = (
            lambda _attempt, _outcome, _seconds: None
        )

    @property
    def departure(self) -> Incarnation | None:
        """Announced departure of the target, if any."""
        return self._state.departure

    @property
    def busy(self) -> bool:
        """Whether attempts are queued or run, or answers are being sent."""
        return bool(self._pending) or self.pacer.busy

    @property
    def pending(self) -> int:
        """Number of attempts that are queued or run."""
        return len(self._pending)

    def running(self) -> Iterator[tuple[bytes, float]]:
        """Yields path and time of sending of each attempt that runs."""
        for pending in self._pending.values():
            if pending.execution is not None:
                yield pending.attempt.path, pending.sent_at

    def load(self) -> LoadReport:
        """Returns the load of the target, as reported to entry nodes."""
        phase = self._state.phase
        if self.stopping and phase is TargetPhase.READY:
            phase = TargetPhase.DRAINING
        now = self._loop.time()
        known = self._queue.has_service_time
        service_s = self._queue.service_s if known else 0.0
        slowdown = COLD_SLOWDOWN if self._state.is_cold(now=now) else 1.0
        return LoadReport(
            phase,
            self._queue.slots,
            self._queue.running,
            self._queue.queued,
            service_s * slowdown,
            round(self._queue.refused_share, 3),
            round(self.pacer.wait_s(), 3),
            {
                kind: seconds * slowdown
                for kind, seconds in self._queue.kind_s.items()
            },
            self._state.limit,
            round(self._queue.find_limit_wait_s(now=now), 3),
            self._state.release,
        )

    def handle_target_change(self) -> None:
        """Applies a change of the target's phase or slots."""
        if self._state.phase is TargetPhase.GONE:
            self._pool.close_idle()
        self._apply_capacity()
        self.on_phase()

    def apply_peer_record(self, record: TargetRecord) -> None:
        """Applies what a peer has recorded about the target."""
        phase_before = self._state.phase
        now = self._loop.time()
        if self._statements.apply_peer_record(record, now=now):
            self._handle_statement(phase_before)

    def offer_slot(self, entry: str, verdict: Verdict) -> bool:
        """Offers an entry node a free slot with an answer.

        Args:
            entry: Address of the entry node.
            verdict: Verdict of the answer; a served attempt holds its slot
                until the answer has been sent.

        Returns:
            Whether a slot is free and not offered.
        """
        free = self._count_free() + isinstance(verdict, Ran)
        if free <= 0 or not self._takes_requests():
            return False
        offered = self._offers.make(entry, free=free, now=self._loop.time())
        if offered:
            self._metrics.slot_offers.inc({"event": "made"})
        return offered

    def has_unoffered_slot(self) -> bool:
        """Returns whether a slot is free and offered to no entry node."""
        free = self._count_free()
        return (
            free > 0
            and self._takes_requests()
            and free > self._offers.count(now=self._loop.time())
        )

    def _count_free(self) -> int:
        """Returns the number of free slots that no queued attempt needs."""
        return self._queue.slots - self._queue.running - self._queue.queued

    def _find_neighbour(self, attempt: Attempt) -> str:
        """Returns another owner for an attempt that would wait, or nothing."""
        wait_s = self._queue.estimate_wait_s(
            attempt.priority, late=attempt.late
        )
        if (
            self._count_free() > 0
            or wait_s < MIN_PASSED_WAIT_S
            or self._queue.refused_share > MAX_PASSED_PRESSURE
        ):
            return ""
        passed_to = self._neighbours.take_slot(now=self._loop.time())
        if passed_to:
            self._metrics.slot_offers.inc({"event": "passed-on"})
        return passed_to

    def _takes_requests(self) -> bool:
        """Returns whether attempts of other nodes are admitted at once."""
        return (
            not self.stopping
            and self._state.phase is TargetPhase.READY
            and self._queue.find_limit_wait_s(now=self._loop.time()) <= 0
        )

    def submit(
        self,
        attempt: Attempt,
        on_outcome: OutcomeListener,
        *,
        local: bool,
        entry: str = "",
        neighbour: NeighbourLoad | None = None,
    ) -> int:
        """Admits, queues or refuses an attempt.

        Args:
            attempt: The attempt.
            on_outcome: Called once with the outcome unless the attempt is
                cancelled.
            local: Whether this node is also the entry node.
            entry: Address of the entry node if it is another one.
            neighbour: Load of another owner, known to the entry node; None if
                the attempt must not be passed on.

        Returns:
            Id of the attempt for `cancel`.
        """
        now = self._loop.time()
        pending = _PendingAttempt(next(self._ids), attempt, on_outcome, now)
        if not local:
            self._offers.record_arrival(entry)
        refusal = self._find_refusal(attempt, local=local)
        if refusal is not None:
            self._complete(pending, Outcome(refusal))
            return pending.id
        if neighbour is not None:
            self._neighbours.record(neighbour)
            passed_to = self._find_neighbour(attempt)
            if passed_to:
                verdict = NotRun(Reason.QUEUE_FULL, PASSED_RETRY_AFTER_S)
                self._complete(pending, Outcome(verdict, passed_to=passed_to))
                return pending.id
        self._pending[pending.id] = pending
        waiter = Waiter(
            pending.id,
            attempt.priority,
            attempt.late,
            attempt.deadline,
            attempt.useful_until,
            attempt.spare_only,
            attempt.kind,
            yields_to_others(attempt.request_id, attempt.usage),
        )
        match self._queue.offer(waiter, now=now):
            case Admit():
                self._execute(pending)
            case Queued(start_by=start_by):
                pending.timer = self._loop.call_at(
                    start_by, self._expire, pending.id
                )
                self._schedule_admission()
            case Refuse(verdict=verdict):
                self._complete(pending, Outcome(verdict))
        return pending.id

    def cancel(self, attempt_id: int) -> bool:
        """Cancels an attempt whose outcome is no longer needed.

        A queued attempt is removed. A running one is aborted if it is
        idempotent. Otherwise it completes, so that its effects are not partial.

        Returns:
            Whether it was queued, so that it never runs.
        """
        pending = self._pending.get(attempt_id)
        if pending is None:
            return False
        pending.on_outcome = None
        if self._queue.discard(attempt_id):
            self._complete(pending, Outcome(NotRun(Reason.CANCELLED)))
            return True
        if pending.execution is not None and pending.attempt.idempotent:
            pending.execution.abandon()
        return False

    def find_early_refusal(self, attempt: Attempt) -> NotRun | None:
        """Returns a refusal of a request of another node before its body."""
        return self._find_refusal(attempt, local=False)

    def record_refused_body(
        self, attempt: Attempt, refusal: NotRun, *, size: int
    ) -> None:
        """Logs and counts a body that is refused before it arrives."""
        self._metrics.refused_bodies.inc({"reason": refusal.reason})
        self._log.request(
            "body-refused",
            attempt.request_id,
            notable=True,
            reason=refusal.reason,
            bytes=size,
            link_wait_s=round(self.pacer.wait_s(), 3),
        )

    def _find_refusal(self, attempt: Attempt, *, local: bool) -> NotRun | None:
        if attempt.service != self._service:
            return NotRun(Reason.WRONG_OWNER, 0.0)
        if not self.admits_release(attempt):
            return NotRun(Reason.DRAINING, 0.0)
        if not local and (self.stopping or not self._can_finish(attempt)):
            return NotRun(Reason.DRAINING, 0.0)
        match self._state.phase:
            case TargetPhase.READY:
                return self._check_link(attempt) if not local else None
            case TargetPhase.DRAINING:
                return NotRun(Reason.DRAINING, 0.0)
        return NotRun(Reason.TARGET_UNREACHABLE, NO_TARGET_RETRY_AFTER_S)

    def _can_finish(self, attempt: Attempt) -> bool:
        """Returns whether an attempt is likely to end before the process."""
        return self.process_end.can_take(
            now=self._loop.time(),
            service_s=self._queue.expect_service_s(attempt.kind),
            longest_s=self._durations.find_longest_s(attempt.kind),
        )

    def _check_link(self, attempt: Attempt) -> NotRun | None:
        """Returns a refusal if the link can't send a large answer in time."""
        if not attempt.bulk:
            return None
        wait_s = self.pacer.wait_s()
        useful_s = attempt.useful_until - self._loop.time()
        longest_s = max(
            useful_s - self._queue.expect_service_s(attempt.kind),
            MIN_LINK_WAIT_S,
        )
        if wait_s <= longest_s:
            return None
        return NotRun(Reason.QUEUE_FULL, wait_s - longest_s)

    def _execute(self, pending: _PendingAttempt) -> None:
        if pending.timer is not None:
            pending.timer.cancel()
            pending.timer = None
        verdict = self._find_late_refusal(pending)
        if verdict is not None:
            self._release(pending, Outcome(verdict))
            return
        pending.sent_at = self._loop.time()
        self._metrics.observe_queue(pending.sent_at - pending.offered_at)
        incarnation = self._state.incarnation
        pending.execution = self._pool.execute(
            pending.attempt,
            target_id=incarnation.target_id,
            on_end=lambda _, outcome: self._finish(pending, outcome),
            on_notice=lambda notice, sent_at: self._apply_notice(
                notice, incarnation, sent_at
            ),
        )

    def _apply_notice(
        self, notice: TargetNotice, incarnation: Incarnation, sent_at: float
    ) -> None:
        """Applies what the target states about itself in an answer."""
        phase_before = self._state.phase
        if self._statements.apply_notice(
            notice,
            incarnation=incarnation,
            sent_at=sent_at,
            now=self._loop.time(),
        ):
            self._handle_statement(phase_before)

    def _handle_statement(self, phase_before: TargetPhase) -> None:
        self._apply_capacity()
        if self._state.phase is not phase_before:
            self.on_phase()

    def _apply_capacity(self) -> None:
        """Applies the target's slots and rate limit to the queue."""
        limit_per_s = self._state.limit_per_s
        self._queue.slots = self._state.slots
        self._queue.set_limit(limit_per_s, now=self._loop.time())
        self._metrics.set_target_limit(limit_per_s)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        self._start(self._queue.admit_waiting(now=self._loop.time()))

    def _schedule_admission(self) -> None:
        """Sets the timer for the next attempt that the rate limit admits."""
        if self._limit_timer is not None:
            self._limit_timer.cancel()
            self._limit_timer = None
        admitted_at = self._queue.find_next_admission(now=self._loop.time())
        if admitted_at is not None:
            self._limit_timer = self._loop.call_at(
                admitted_at, self._admit_waiting
            )

    def _find_late_refusal(self, pending: _PendingAttempt) -> NotRun | None:
        """Returns a refusal if a queued attempt must no longer be sent."""
        now = self._loop.time()
        if pending.attempt.deadline <= now:
            return NotRun(Reason.DEADLINE_PASSED)
        since = self._state.draining_since
        if since is not None and now - since > self._drain_s * DRAIN_SHARE:
            return NotRun(Reason.DRAINING, 0.0)
        if self._state.phase is TargetPhase.GONE:
            return NotRun(Reason.TARGET_UNREACHABLE, NO_TARGET_RETRY_AFTER_S)
        if not self.process_end.can_finish(
            now=now,
            wait_s=0.0,
            service_s=self._queue.expect_service_s(pending.attempt.kind),
            longest_s=self._durations.find_longest_s(pending.attempt.kind),
            idempotent=pending.attempt.idempotent,
            deadline=pending.attempt.deadline,
        ):
            return NotRun(Reason.DRAINING, 0.0)
        return None

    def _finish(self, pending: _PendingAttempt, outcome: Outcome) -> None:
        now = self._loop.time()
        taken_s = now - pending.sent_at
        self.on_executed(pending.attempt, outcome, taken_s)
        match outcome.verdict:
            case Ran():
                self._durations.observe(pending.attempt.kind, taken_s)
                self._complete(pending, outcome)
                self._start(self._queue.finish(pending.id, now=now))
                return
            case NotRun(reason=Reason.TARGET_UNREACHABLE):
                if self._state.record_refused_connection():
                    self._log.state_change("target-unreachable", phase="gone")
                    self._pool.close_idle()
                    self.on_phase()
            case MayHaveRun():
                self._complete(pending, outcome)
                self._loop.call_later(SLOT_HOLD_S, self._free_slot, pending.id)
                return
            case NotRun():
                pass
        self._release(pending, outcome)

    def _release(self, pending: _PendingAttempt, outcome: Outcome) -> None:
        self._complete(pending, outcome)
        self._free_slot(pending.id)

    def _free_slot(self, attempt_id: int) -> None:
        self._start(self._queue.release(attempt_id, now=self._loop.time()))

    def _start(self, admitted: Iterable[Admit]) -> None:
        for admit in tuple(admitted):
            self._execute(self._pending[admit.id])
        self._schedule_admission()

    def _expire(self, attempt_id: int) -> None:
        refusal = self._queue.expire(attempt_id, now=self._loop.time())
        if refusal is not None:
            self._complete(self._pending[attempt_id], Outcome(refusal.verdict))

    def _complete(self, pending: _PendingAttempt, outcome: Outcome) -> None:
        self._pending.pop(pending.id, None)
        # Its callback refers to the attempt, whose body may be large.
        pending.execution = None
        if pending.timer is not None:
            pending.timer.cancel()
            pending.timer = None
        self._log_attempt(pending, outcome)
        on_outcome, pending.on_outcome = pending.on_outcome, None
        if on_outcome is not None:
            held_s = self._loop.time() - pending.offered_at
            on_outcome(attrs.evolve(outcome, held_s=held_s))

    def _log_attempt(self, pending: _PendingAttempt, outcome: Outcome) -> None:
        now = self._loop.time()
        sent_at = pending.sent_at or now
        if pending.sent_at:
            self._metrics.observe_target(now - sent_at)
        attempt = pending.attempt
        notable = isinstance(outcome.verdict, MayHaveRun) or (
            isinstance(outcome.verdict, Ran)
            and now - pending.offered_at
            > SLOW_FACTOR * self._queue.expect_service_s(attempt.kind)
        )
        if notable or self._log.is_sampled(attempt.request_id):
            self._log.request(
                "attempt-ended",
                attempt.request_id,
                notable=notable,
                verdict=verdict_name(outcome.verdict),
                reason=outcome.verdict.reason,
                status=outcome.status,
                target=self._state.target_id,
                queue_ms=round((sent_at - pending.offered_at) * MS_PER_S, 1),
                target_ms=round((now - sent_at) * MS_PER_S, 1),
                left_ms=round((attempt.deadline - now) * MS_PER_S, 1),
                running=self._queue.running,
                queued=self._queue.queued,
                slots=self._queue.slots,
                bytes=len(outcome.body),
                passed_to=outcome.passed_to,
            )
