"""Admission of calls to one target: fixed slots and a bounded queue.

The machine takes one event at a time and returns actions. It knows no clock:
every event carries `now`, the event loop's time in seconds.

A call holds its slot from `Start` until `finish`, which is to be told only
when the target has ended its work on the call. A caller that gives up first
is answered at once (`Abandon`), but the slot stays taken: the target may
still be working, and only the target's own end of the call frees the slot.
"""

import attrs

from guavawing.model import CallClass
from guavawing.policy.class_queue import (
    CLASS_ORDER,
    ClassQueue,
    QueuedCall,
    guaranteed_share,
)
from guavawing.verdict import MayHaveRun, NotRun, Reason

__all__ = ["Abandon", "Action", "Admission", "QueuedCall", "Refuse", "Start"]

# Weight of the newest observation in the mean service times.
SERVICE_TIME_WEIGHT = 0.1
# Weight of the newest start in the share of starts that classes get.
START_SHARE_WEIGHT = 0.02
INITIAL_SERVICE_TIME_S = 0.005
MIN_RETRY_AFTER_S = 0.05
# Answer to "when to come back" while no slot can be had at all.
NO_SLOT_RETRY_AFTER_S = 1.0
# Queue length from which each lower class has a place of its own.
MIN_RESERVED_QUEUE = 4


@attrs.frozen
class Start:
    """The call holds a slot and is to be sent to the target."""

    call_id: int


@attrs.frozen
class Refuse:
    """The call leaves the machine without having had a slot."""

    call_id: int
    verdict: NotRun


@attrs.frozen
class Abandon:
    """The caller is to be answered now; the call keeps its slot."""

    call_id: int
    verdict: MayHaveRun


Action = Start | Refuse | Abandon


@attrs.define
class _Running:
    call: QueuedCall
    started_at: float
    abandoned: bool = False


class Admission:
    """Slots and queue of one target."""

    __slots__ = (
        "_abandoned",
        "_class_service_time_s",
        "_draining",
        "_queue",
        "_queue_limit",
        "_running",
        "_service_time_s",
        "_slots",
        "_start_shares",
        "_started_at_sum",
    )

    def __init__(
        self, *, slots: int, queue_limit: int, queue: ClassQueue | None = None
    ) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._queue = ClassQueue() if queue is None else queue
        self._running: dict[int, _Running] = {}
        self._abandoned = 0
        self._started_at_sum = 0.0
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._class_service_time_s: dict[CallClass, float] = {}
        self._start_shares = dict.fromkeys(CLASS_ORDER, 0.0)
        self._draining = False

    @property
    def slots(self) -> int:
        """Calls that the target executes at a time."""
        return self._slots

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    @property
    def abandoned(self) -> int:
        """Calls that hold a slot and that nobody waits for."""
        return self._abandoned

    @property
    def service_time_s(self) -> float:
        """Mean time that a call holds its slot, in seconds."""
        return self._service_time_s

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return self._draining

    def set_limits(
        self, *, slots: int, queue_limit: int, now: float
    ) -> list[Action]:
        """Applies the limits of a new configuration version.

        Calls that run go on, also when they are more than the new slots; no
        call is started until fewer than the new slots run.
        """
        self._slots = slots
        self._queue_limit = queue_limit
        actions = self._start_waiting(now)
        while len(self._queue) > queue_limit:
            actions.append(self._evict_last(CLASS_ORDER[::-1], now))
        return actions

    def offer(self, call: QueuedCall, *, now: float) -> list[Action]:
        """Takes a new call: starts, queues or refuses it."""
        if self._draining:
            return [Refuse(call.id, NotRun(Reason.DRAINING, 0.0))]
        if call.deadline <= now:
            return [Refuse(call.id, NotRun(Reason.DEADLINE_PASSED))]
        if len(self._running) < self._slots and not self._queue:
            return [self._start(call, now)]
        in_class = self._queue.count_before(call) + 1
        wait_s = self._estimate_wait_s(call.call_class, in_class, now)
        time_left_s = call.deadline - now
        too_late_s = wait_s + self._expect_service_s(call) - time_left_s
        if too_late_s > 0:
            reason = Reason.CANNOT_MEET_DEADLINE
            return [Refuse(call.id, self._refuse(call, reason, now))]
        actions: list[Action] = []
        if self._has_no_place(call.call_class):
            below = self._list_evictable(call.call_class)
            if not below:
                verdict = self._refuse(call, Reason.QUEUE_FULL, now)
                return [Refuse(call.id, verdict)]
            actions.append(self._evict_last(below, now))
        self._queue.push(call)
        return actions

    def finish(self, call_id: int, *, now: float) -> list[Action]:
        """Takes the end of a call at the target and frees its slot."""
        running = self._running.pop(call_id)
        self._abandoned -= running.abandoned
        self._started_at_sum -= running.started_at
        if not self._running:
            self._started_at_sum = 0.0
        self._observe(running.call.call_class, now - running.started_at)
        return self._start_waiting(now)

    def cancel(self, call_id: int) -> list[Action]:
        """Takes a caller's cancellation; a running call keeps its slot."""
        if self._queue.discard(call_id) is not None:
            return [Refuse(call_id, NotRun(Reason.CANCELLED))]
        running = self._running.get(call_id)
        if running is not None and not running.abandoned:
            self._abandon(running)
        return []

    def start_draining(self) -> None:
        """Refuses new calls from now on; queued and running ones go on."""
        self._draining = True

    def stop_draining(self) -> None:
        """Takes new calls again."""
        self._draining = False

    def expire(self, *, now: float) -> list[Action]:
        """Answers the calls whose deadline has passed.

        Queued ones have not run. Running ones may have, and keep their slot.
        """
        actions: list[Action] = []
        for call in self._queue.list_expired(now=now):
            self._queue.discard(call.id)
            actions.append(Refuse(call.id, NotRun(Reason.DEADLINE_PASSED)))
        for running in self._running.values():
            if running.call.deadline <= now and not running.abandoned:
                self._abandon(running)
                verdict = MayHaveRun(Reason.TARGET_TIMEOUT)
                actions.append(Abandon(running.call.id, verdict))
        return actions

    def _start(self, call: QueuedCall, now: float) -> Start:
        self._running[call.id] = _Running(call, now)
        self._started_at_sum += now
        for each, share in self._start_shares.items():
            newest = 1.0 if each is call.call_class else 0.0
            change = START_SHARE_WEIGHT * (newest - share)
            self._start_shares[each] = share + change
        return Start(call.id)

    def _start_waiting(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._queue and len(self._running) < self._slots:
            call = self._queue.pop()
            if call.deadline <= now:
                verdict = NotRun(Reason.DEADLINE_PASSED)
                actions.append(Refuse(call.id, verdict))
                continue
            actions.append(self._start(call, now))
        return actions

    def _abandon(self, running: _Running) -> None:
        running.abandoned = True
        self._abandoned += 1

    def _has_no_place(self, call_class: CallClass) -> bool:
        """Returns whether the queue is full for a class.

        The last places are kept for lower classes that don't fill them, so
        that a flood of urgent calls doesn't shut them out.
        """
        kept = 0
        for each in CLASS_ORDER[CLASS_ORDER.index(call_class) + 1 :]:
            reserved = self._count_reserved(each)
            kept += max(0, reserved - self._queue.count(each))
        return len(self._queue) + kept >= self._queue_limit

    def _list_evictable(self, call_class: CallClass) -> list[CallClass]:
        """Returns lower classes with more than their places, lowest first."""
        below = CLASS_ORDER[CLASS_ORDER.index(call_class) + 1 :]
        return [
            each
            for each in reversed(below)
            if self._queue.count(each) > self._count_reserved(each)
        ]

    def _count_reserved(self, call_class: CallClass) -> int:
        if self._queue_limit < MIN_RESERVED_QUEUE:
            return 0
        return max(1, int(self._queue_limit * guaranteed_share(call_class)))

    def _evict_last(
        self,
        call_classes: "tuple[CallClass, ...] | list[CallClass]",
        now: float,
    ) -> Refuse:
        """Takes the last call of the first class that has one."""
        for each in call_classes:
            call = self._queue.last(each)
            if call is not None:
                self._queue.discard(call.id)
                verdict = self._refuse(call, Reason.EVICTED, now)
                return Refuse(call.id, verdict)
        raise AssertionError("no call waits")

    def _refuse(self, call: QueuedCall, reason: Reason, now: float) -> NotRun:
        """Returns a refusal that tells when to come back.

        By then what waits now, up to the whole class of the call, has been
        started and, as all slots may become free together, one more call's
        time has passed.
        """
        in_class = self._queue.count(call.call_class) + 1
        wait_s = self._estimate_wait_s(call.call_class, in_class, now)
        retry_after_s = wait_s + self._current_service_time_s(now)
        return NotRun(reason, max(retry_after_s, MIN_RETRY_AFTER_S))

    def _observe(self, call_class: CallClass, service_time_s: float) -> None:
        weight = SERVICE_TIME_WEIGHT
        change = weight * (service_time_s - self._service_time_s)
        self._service_time_s += change
        mean = self._class_service_time_s.get(call_class, service_time_s)
        mean += weight * (service_time_s - mean)
        self._class_service_time_s[call_class] = mean

    def _expect_service_s(self, call: QueuedCall) -> float:
        return self._class_service_time_s.get(
            call.call_class, self._service_time_s
        )

    def _estimate_wait_s(
        self, call_class: CallClass, in_class: int, now: float
    ) -> float:
        """Returns how long the first `in_class` calls of a class wait.

        A class waits for the calls of higher classes that are queued now,
        and, as more of them will come, gets only the share of the starts
        that higher classes have lately left to it.
        """
        usable = self._slots - self._abandoned
        if usable <= 0:
            return NO_SLOT_RETRY_AFTER_S
        slot_time_s = self._current_service_time_s(now) / usable
        ahead = self._queue.count_above(call_class) + in_class
        share = self._expect_share(call_class)
        return slot_time_s * max(ahead, in_class / share)

    def _expect_share(self, call_class: CallClass) -> float:
        above = CLASS_ORDER[: CLASS_ORDER.index(call_class)]
        left = 1.0 - sum(self._start_shares[each] for each in above)
        return max(left, guaranteed_share(call_class))

    def _current_service_time_s(self, now: float) -> float:
        """Returns the mean service time, longer while running calls hang."""
        if not self._running:
            return self._service_time_s
        mean_started_at = self._started_at_sum / len(self._running)
        return max(self._service_time_s, now - mean_started_at)
