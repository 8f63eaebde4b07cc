"""Admission of calls to one target: fixed slots and a bounded queue.

The machine takes one event at a time and returns actions. It knows no clock:
every event carries `now`, the event loop's time in seconds.
"""

import heapq
import itertools

import attrs

from guavawing.model import CallClass
from guavawing.verdict import NotRun, Reason

__all__ = ["Action", "Admission", "QueuedCall", "Refuse", "Start"]

CLASS_ORDER = {CallClass.URGENT: 0, CallClass.NORMAL: 1, CallClass.BULK: 2}
# Weight of the newest observation in the mean service time.
SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.005
MIN_RETRY_AFTER_S = 0.05


@attrs.frozen
class QueuedCall:
    """A call that asks for a slot.

    Attributes:
        id: Unique among the calls of this machine.
        call_class: Order of service.
        deadline: Event loop's time at which the caller gives up, in seconds.
    """

    id: int
    call_class: CallClass
    deadline: float


@attrs.frozen
class Start:
    """The call holds a slot and is to be sent to the target."""

    call_id: int


@attrs.frozen
class Refuse:
    """The call leaves the machine without having had a slot."""

    call_id: int
    verdict: NotRun


Action = Start | Refuse


class Admission:
    """Slots and queue of one target."""

    __slots__ = (
        "_counter",
        "_draining",
        "_queue",
        "_queue_limit",
        "_queued",
        "_running",
        "_service_time_s",
        "_slots",
    )

    def __init__(self, *, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._running: dict[int, float] = {}
        self._queued: dict[int, QueuedCall] = {}
        self._queue: list[tuple[int, float, int, int]] = []
        self._counter = itertools.count()
        self._service_time_s = INITIAL_SERVICE_TIME_S
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
        return len(self._queued)

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
        """Applies the limits of a new configuration version."""
        self._slots = slots
        self._queue_limit = queue_limit
        return self._start_waiting(now)

    def offer(self, call: QueuedCall, *, now: float) -> list[Action]:
        """Takes a new call: starts, queues or refuses it."""
        if self._draining:
            return [Refuse(call.id, NotRun(Reason.DRAINING, 0.0))]
        if call.deadline <= now:
            return [Refuse(call.id, NotRun(Reason.DEADLINE_PASSED))]
        if len(self._running) < self._slots and not self._queued:
            self._running[call.id] = now
            return [Start(call.id)]
        if len(self._queued) >= self._queue_limit:
            retry_after_s = self._estimate_wait_s()
            return [Refuse(call.id, NotRun(Reason.QUEUE_FULL, retry_after_s))]
        wait_s = self._estimate_wait_s()
        if now + wait_s >= call.deadline:
            verdict = NotRun(Reason.CANNOT_MEET_DEADLINE, wait_s)
            return [Refuse(call.id, verdict)]
        self._queued[call.id] = call
        entry = (
            CLASS_ORDER[call.call_class],
            call.deadline,
            next(self._counter),
            call.id,
        )
        heapq.heappush(self._queue, entry)
        return []

    def finish(self, call_id: int, *, now: float) -> list[Action]:
        """Takes the end of a call at the target and frees its slot."""
        started_at = self._running.pop(call_id)
        weight = SERVICE_TIME_WEIGHT
        self._service_time_s *= 1 - weight
        self._service_time_s += weight * (now - started_at)
        return self._start_waiting(now)

    def cancel(self, call_id: int) -> list[Action]:
        """Takes a caller's cancellation; a running call keeps its slot."""
        if self._queued.pop(call_id, None) is None:
            return []
        return [Refuse(call_id, NotRun(Reason.CANCELLED))]

    def start_draining(self) -> None:
        """Refuses new calls from now on; queued and running ones go on."""
        self._draining = True

    def stop_draining(self) -> None:
        """Takes new calls again."""
        self._draining = False

    def expire(self, *, now: float) -> list[Action]:
        """Refuses the queued calls whose deadline has passed."""
        expired = [
            call.id for call in self._queued.values() if call.deadline <= now
        ]
        for call_id in expired:
            del self._queued[call_id]
        verdict = NotRun(Reason.DEADLINE_PASSED)
        return [Refuse(call_id, verdict) for call_id in expired]

    def _start_waiting(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._queue and len(self._running) < self._slots:
            *_, call_id = heapq.heappop(self._queue)
            call = self._queued.pop(call_id, None)
            if call is None:
                continue
            if call.deadline <= now:
                verdict = NotRun(Reason.DEADLINE_PASSED)
                actions.append(Refuse(call_id, verdict))
                continue
            self._running[call_id] = now
            actions.append(Start(call_id))
        return actions

    def _estimate_wait_s(self) -> float:
        """Returns the expected wait of a call at the end of the queue."""
        ahead = len(self._queued) + 1
        wait_s = ahead * self._service_time_s / max(self._slots, 1)
        return max(wait_s, MIN_RETRY_AFTER_S if ahead > self._slots else 0.0)
