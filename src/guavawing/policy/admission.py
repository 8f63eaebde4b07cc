"""Admission of calls to one target: fixed slots and a bounded queue.

The state machine processes one event at a time and returns actions. It reads
no clock: every event carries `now`, the event loop's time in seconds.

A call holds its slot from `Start` until `finish`, which must be called only
when the target has ended its work on the call. A caller that gives up earlier
is answered at once (`Abandon`), but the slot stays occupied: the target may
still be working, and only its completion of the call frees the slot.
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

# Weight of the newest observation in the moving mean of service times.
SERVICE_TIME_WEIGHT = 0.1
# Weight of the newest start in the moving share of starts of each class.
START_SHARE_WEIGHT = 0.02
INITIAL_SERVICE_TIME_S = 0.005
MIN_RETRY_AFTER_S = 0.05
# Expected wait, in seconds, while there is no slot without an abandoned call.
NO_SLOT_RETRY_AFTER_S = 1.0
# Queue limit from which each lower class has at least one reserved place.
MIN_RESERVED_QUEUE = 4


@attrs.frozen
class Start:
    """The call holds a slot and must be sent to the target."""

    call_id: int


@attrs.frozen
class Refuse:
    """The call is removed without having held a slot."""

    call_id: int
    verdict: NotRun


@attrs.frozen
class Abandon:
    """The caller must be answered now; the call keeps its slot."""

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
        """Calls that the target executes concurrently."""
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
        """Calls that hold a slot although their callers have been answered."""
        return self._abandoned

    @property
    def service_time_s(self) -> float:
        """Moving mean of the time that a call holds its slot, in seconds."""
        return self._service_time_s

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return self._draining

    def set_limits(
        self, *, slots: int, queue_limit: int, now: float
    ) -> list[Action]:
        """Applies the limits of a new configuration version.

        Running calls continue even if they exceed the new number of slots; no
        call is started until fewer calls than that are running.
        """
        self._slots = slots
        self._queue_limit = queue_limit
        actions = self._start_waiting(now)
        while len(self._queue) > queue_limit:
            actions.append(self._evict_last(CLASS_ORDER[::-1], now))
        return actions

    def offer(self, call: QueuedCall, *, now: float) -> list[Action]:
        """Starts, queues or refuses a new call."""
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
        if self._is_full_for(call.call_class):
            below = self._list_evictable(call.call_class)
            if not below:
                verdict = self._refuse(call, Reason.QUEUE_FULL, now)
                return [Refuse(call.id, verdict)]
            actions.append(self._evict_last(below, now))
        self._queue.push(call)
        return actions

    def finish(self, call_id: int, *, now: float) -> list[Action]:
        """Frees the slot of a call that the target has ended."""
        running = self._running.pop(call_id)
        self._abandoned -= running.abandoned
        self._started_at_sum -= running.started_at
        if not self._running:
            self._started_at_sum = 0.0
        self._record_service_time(
            running.call.call_class, now - running.started_at
        )
        return self._start_waiting(now)

    def cancel(self, call_id: int) -> list[Action]:
        """Handles a caller's cancellation; a running call keeps its slot."""
        if self._queue.discard(call_id) is not None:
            return [Refuse(call_id, NotRun(Reason.CANCELLED))]
        running = self._running.get(call_id)
        if running is not None and not running.abandoned:
            self._abandon(running)
        return []

    def start_draining(self) -> None:
        """Refuses new calls from now on; queued and running ones continue."""
        self._draining = True

    def stop_draining(self) -> None:
        """Accepts new calls again."""
        self._draining = False

    def expire(self, *, now: float) -> list[Action]:
        """Ends the calls whose deadline has passed.

        Queued calls have not run. Running calls may have run, and keep their
        slots.
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

    def _is_full_for(self, call_class: CallClass) -> bool:
        """Returns whether the queue is full for a class.

        Unused reserved places of lower classes count as occupied, so that a
        burst of urgent calls cannot fill the whole queue.
        """
        kept = 0
        for each in CLASS_ORDER[CLASS_ORDER.index(call_class) + 1 :]:
            reserved = self._count_reserved(each)
            kept += max(0, reserved - self._queue.count(each))
        return len(self._queue) + kept >= self._queue_limit

    def _list_evictable(self, call_class: CallClass) -> list[CallClass]:
        """Returns lower classes above their reservation, lowest first."""
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
        """Evicts the last call of the first class with a queued call."""
        for each in call_classes:
            call = self._queue.last(each)
            if call is not None:
                self._queue.discard(call.id)
                verdict = self._refuse(call, Reason.EVICTED, now)
                return Refuse(call.id, verdict)
        raise AssertionError("no call of these classes is queued")

    def _refuse(self, call: QueuedCall, reason: Reason, now: float) -> NotRun:
        """Returns a refusal with a retry-after time.

        The time covers the start of all calls queued now up to and including
        the call's class, and one more service time, as all slots may become
        free at once.
        """
        in_class = self._queue.count(call.call_class) + 1
        wait_s = self._estimate_wait_s(call.call_class, in_class, now)
        retry_after_s = wait_s + self._current_service_time_s(now)
        return NotRun(reason, max(retry_after_s, MIN_RETRY_AFTER_S))

    def _record_service_time(
        self, call_class: CallClass, service_time_s: float
    ) -> None:
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
        """Estimates the wait for the first `in_class` calls of a class.

        A class waits for the calls of higher classes that are queued now.
        As more of them will arrive, it is assumed to get only the share of
        starts that higher classes have recently left to it.
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
        """Returns the mean service time, or the mean age of running calls.

        The longer of both is used, so that calls that hang at the target
        raise the estimate before they end.
        """
        if not self._running:
            return self._service_time_s
        mean_started_at = self._started_at_sum / len(self._running)
        return max(self._service_time_s, now - mean_started_at)
