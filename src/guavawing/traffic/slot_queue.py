"""Admission of requests to one target: its slots and a short queue.

The state machine processes one event at a time and returns actions; `now` is
the event loop's time in seconds. A request is queued only as long as its answer
can still be fully useful. One that would have to wait longer is refused at
once, with the time until capacity is expected. While there are more requests
than slots, those that can still be answered in time precede those that are
already late: the throughput of the target is the same, and more answers are in
time. Requests beyond the share of their client account come after all others.

A target may also name a rate limit. A request is then admitted only when both a
slot and the rate allow it.
"""

import bisect
import collections
import itertools
from collections.abc import Iterator

import attrs

from guavawing.traffic.rate_limiter import RateLimiter
from guavawing.verdict import NotRun, Reason

__all__ = ["Admit", "Decision", "Queued", "Refuse", "SlotQueue", "Waiter"]

# Weight of the newest execution in the moving mean of slot times.
SERVICE_TIME_WEIGHT = 0.1
# Weight of the newest request in the moving share of refused ones: it averages
# over about a hundred requests, which is about a second at a full target.
REFUSED_WEIGHT = 0.02
INITIAL_SERVICE_S = 0.1
# Factor of the mean time within which an execution is expected to end: about
# nine of ten do if times vary by a factor of two.
EXPECTED_SERVICE_FACTOR = 1.5
# Minimum time left for a request to be sent to the target, as a fraction of the
# mean time.
MIN_SERVICE_PART = 0.5
# Wait allowed for a request that can no longer be answered in time, in seconds:
# a slot that becomes free within a round trip is used.
MIN_WAIT_S = 0.03
MIN_RETRY_AFTER_S = 0.04
# Retry-after time if the target drains or is gone, in seconds: another target
# has to become available first.
NO_TARGET_RETRY_AFTER_S = 0.25


@attrs.frozen
class Waiter:
    """A request for a slot.

    Attributes:
        id: Unique at this node.
        priority: Order of service, 0 first.
        late: Whether its answer is too late to be fully useful in any case.
        deadline: Event loop's time at which it is given up, in seconds.
        useful_until: Event loop's time until which its answer is fully
            useful, in seconds.
        spare_only: Whether it may use only a slot that no queued request
            needs.
        kind: Kind of the request; requests of one kind take about as long.
        yields: Whether requests of accounts within their shares go first.
    """

    id: int
    priority: int
    late: bool
    deadline: float
    useful_until: float
    spare_only: bool
    kind: int = 0
    yields: bool = False


@attrs.frozen
class Admit:
    """The request holds a slot and must be sent to the target."""

    id: int


@attrs.frozen
class Queued:
    """The request is queued; `expire` must be called at `start_by`."""

    id: int
    start_by: float


@attrs.frozen
class Refuse:
    """The request has not been sent to the target and won't be."""

    id: int
    verdict: NotRun


Decision = Admit | Queued | Refuse


@attrs.frozen(order=True)
class _Entry:
    yields: bool
    priority: int
    late: bool
    number: int
    id: int = attrs.field(order=False)
    start_by: float = attrs.field(order=False)
    kind: int = attrs.field(order=False)


class SlotQueue:
    """Slots and queue of one target.

    Attributes:
        slots: Requests that the target executes concurrently.
        service_s: Mean time that a request holds its slot, in seconds.
        refused_share: Share of recent requests refused for lack of capacity.
        kind_s: Mean time that a request holds its slot, in seconds, by kind,
            for the kinds that were executed.
    """

    __slots__ = (
        "_entries",
        "_executed",
        "_limiter",
        "_number",
        "_numbers",
        "_running",
        "kind_s",
        "refused_share",
        "service_s",
        "slots",
    )

    def __init__(self) -> None:
        self.slots = 0
        self._limiter: RateLimiter | None = None
        self.service_s = INITIAL_SERVICE_S
        self.kind_s: dict[int, float] = {}
        self._executed: collections.Counter[int] = collections.Counter()
        self.refused_share = 0.0
        # Start of execution and kind, by id.
        self._running: dict[int, tuple[float, int]] = {}
        self._entries: list[_Entry] = []
        self._numbers: dict[int, _Entry] = {}
        self._number = 0

    @property
    def has_service_time(self) -> bool:
        """Whether the mean service time is based on executions."""
        return bool(self._executed)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._entries)

    def set_limit(self, per_s: float | None, *, now: float) -> None:
        """Sets the rate at which requests are admitted.

        Args:
            per_s: Requests per second; None for no limit.
            now: Event loop's time, in seconds.
        """
        if per_s is None:
            self._limiter = None
        elif self._limiter is None:
            self._limiter = RateLimiter(per_s, now=now)
        else:
            self._limiter.change_rate(per_s, now=now)

    def find_limit_wait_s(self, *, now: float) -> float:
        """Returns the time until the rate admits a new request, in seconds.

        It is 0 without a limit, and negative if the rate admits it already.
        """
        if self._limiter is None:
            return 0.0
        return self._limiter.wait_s(now=now, ahead=len(self._entries))

    def find_next_admission(self, *, now: float) -> float | None:
        """Returns when the rate admits the next queued request.

        It is the event loop's time, in seconds; None if no request is queued
        or the queued ones wait for slots.
        """
        if self._limiter is None or not self._entries or not self._has_slot():
            return None
        return now + max(0.0, self._limiter.wait_s(now=now))

    def expect_service_s(self, kind: int) -> float:
        """Returns the expected slot time of a kind, in seconds."""
        return self.kind_s.get(kind, self.service_s)

    def estimate_wait_s(
        self, priority: int, *, late: bool, yields: bool = False
    ) -> float:
        """Estimates the wait of a new request for a slot, in seconds."""
        if self._has_slot() and not self._entries:
            return 0.0
        if self.slots <= 0:
            return NO_TARGET_RETRY_AFTER_S
        ahead = bisect.bisect(
            self._entries,
            (yields, priority, late),
            key=lambda entry: (entry.yields, entry.priority, entry.late),
        )
        over = len(self._running) - self.slots
        ahead_s = sum(
            self.expect_service_s(entry.kind)
            for entry in itertools.islice(self._entries, ahead)
        )
        return (ahead_s + (1 + max(over, 0)) * self.service_s) / self.slots

    def offer(self, waiter: Waiter, *, now: float) -> Decision:
        """Admits, queues or refuses a new request."""
        left_s = waiter.deadline - now
        if left_s <= 0:
            return Refuse(waiter.id, NotRun(Reason.DEADLINE_PASSED))
        if not self._entries and self._has_slot() and self._has_room(now):
            self._running[waiter.id] = (now, waiter.kind)
            self._record_offer(waiter, refused=False)
            return Admit(waiter.id)
        slot_wait_s = self.estimate_wait_s(
            waiter.priority, late=waiter.late, yields=waiter.yields
        )
        limit_wait_s = self.find_limit_wait_s(now=now)
        wait_s = max(slot_wait_s, limit_wait_s)
        max_wait_s = self._max_wait_s(waiter, now)
        if wait_s > max_wait_s or self.slots <= 0:
            self._record_offer(waiter, refused=True)
            limited = limit_wait_s > slot_wait_s
            reason = Reason.RATE_LIMITED if limited else Reason.QUEUE_FULL
            retry_after_s = max(wait_s - max_wait_s, MIN_RETRY_AFTER_S)
            return Refuse(waiter.id, NotRun(reason, retry_after_s))
        self._record_offer(waiter, refused=False)
        self._number += 1
        entry = _Entry(
            waiter.yields,
            waiter.priority,
            waiter.late,
            self._number,
            waiter.id,
            now + max_wait_s,
            waiter.kind,
        )
        bisect.insort(self._entries, entry)
        self._numbers[waiter.id] = entry
        return Queued(waiter.id, entry.start_by)

    def finish(self, waiter_id: int, *, now: float) -> Iterator[Admit]:
        """Frees the slot of an ended execution; yields admitted requests."""
        started_at, kind = self._running.pop(waiter_id)
        self._record_execution(kind, now - started_at)
        return self.admit_waiting(now=now)

    def release(self, waiter_id: int, *, now: float) -> Iterator[Admit]:
        """Frees a slot that was not used; yields admitted requests."""
        self._running.pop(waiter_id)
        return self.admit_waiting(now=now)

    def admit_waiting(self, *, now: float) -> Iterator[Admit]:
        """Admits queued requests as slots and rate allow and yields them."""
        while self._entries and self._has_slot() and self._has_room(now):
            entry = self._entries.pop(0)
            del self._numbers[entry.id]
            self._running[entry.id] = (now, entry.kind)
            yield Admit(entry.id)

    def expire(self, waiter_id: int, *, now: float) -> Refuse | None:
        """Refuses a request at the end of its wait; None if not queued."""
        limited = self.find_next_admission(now=now) is not None
        if not self.discard(waiter_id):
            return None
        reason = Reason.RATE_LIMITED if limited else Reason.QUEUE_FULL
        limit_wait_s = self.find_limit_wait_s(now=now)
        retry_after_s = max(limit_wait_s, MIN_RETRY_AFTER_S)
        return Refuse(waiter_id, NotRun(reason, retry_after_s))

    def discard(self, waiter_id: int) -> bool:
        """Removes a queued request; returns whether it was queued."""
        entry = self._numbers.pop(waiter_id, None)
        if entry is None:
            return False
        self._entries.remove(entry)
        return True

    def _has_slot(self) -> bool:
        return len(self._running) < self.slots

    def _has_room(self, now: float) -> bool:
        """Uses the room of the rate limit; returns False if there is none."""
        return self._limiter is None or self._limiter.acquire(now=now)

    def _record_execution(self, kind: int, held_s: float) -> None:
        self._executed[kind] += 1
        # The first executions are averaged with equal weights, so that the mean
        # converges quickly.
        executed = self._executed.total()
        weight = max(SERVICE_TIME_WEIGHT, 1 / executed)
        self.service_s += weight * (held_s - self.service_s)
        weight = max(SERVICE_TIME_WEIGHT, 1 / self._executed[kind])
        known_s = self.kind_s.get(kind, held_s)
        self.kind_s[kind] = known_s + weight * (held_s - known_s)

    def _record_offer(self, waiter: Waiter, *, refused: bool) -> None:
        # Refusals of requests for spare slots do not depend on the load of
        # the queue.
        if not waiter.spare_only:
            change = refused - self.refused_share
            self.refused_share += REFUSED_WEIGHT * change

    def _max_wait_s(self, waiter: Waiter, now: float) -> float:
        """Returns the maximum useful wait of a request, in seconds."""
        if waiter.spare_only:
            return 0.0
        expected_s = self.expect_service_s(waiter.kind)
        useful_s = waiter.useful_until - now
        useful_s -= EXPECTED_SERVICE_FACTOR * expected_s
        left_s = waiter.deadline - now - MIN_SERVICE_PART * expected_s
        return min(max(useful_s, MIN_WAIT_S), left_s)
