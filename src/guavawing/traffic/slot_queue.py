"""Admission of requests to one target: its slots and a short queue.

One event comes in, actions go out; `now` is the event loop's time in seconds.
A request waits only as long as its answer can still be of use. One that would
have to wait longer is refused at once, with the time until there is room.
"""

import bisect
from collections.abc import Iterator

import attrs

from guavawing.verdict import NotRun, Reason

__all__ = ["Admit", "Decision", "Queued", "Refuse", "SlotQueue", "Waiter"]

# Weight of the newest execution in the mean time that a slot is held.
SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_S = 0.1
# How far a mean can be from the next execution: answers within the deadline
# are expected only if this part of the mean is left after the wait.
MIN_SERVICE_PART = 0.5
MIN_RETRY_AFTER_S = 0.05
# A target that drains or is gone: another one has to be found first.
NO_TARGET_RETRY_AFTER_S = 0.25


@attrs.frozen
class Waiter:
    """A request that asks for a slot.

    Attributes:
        id: Unique at this node.
        priority: Order of service, 0 first.
        deadline: Time at which it is given up.
        max_wait_s: Longest time that it may wait for a slot.
    """

    id: int
    priority: int
    deadline: float
    max_wait_s: float


@attrs.frozen
class Admit:
    """The request holds a slot and is to be sent to the target."""

    id: int


@attrs.frozen
class Queued:
    """The request waits; `start_by` is the time at which to call `expire`."""

    id: int
    start_by: float


@attrs.frozen
class Refuse:
    """The request has not been sent and won't be."""

    id: int
    verdict: NotRun


Decision = Admit | Queued | Refuse


@attrs.frozen(order=True)
class _Entry:
    priority: int
    number: int
    id: int = attrs.field(order=False)
    start_by: float = attrs.field(order=False)


class SlotQueue:
    """Slots and queue of one target.

    Attributes:
        slots: Requests that the target executes at a time.
        service_s: Mean time that a request holds its slot, in seconds.
    """

    __slots__ = (
        "_entries",
        "_number",
        "_numbers",
        "_running",
        "service_s",
        "slots",
    )

    def __init__(self) -> None:
        self.slots = 0
        self.service_s = INITIAL_SERVICE_S
        self._running: dict[int, float] = {}
        self._entries: list[_Entry] = []
        self._numbers: dict[int, _Entry] = {}
        self._number = 0

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._entries)

    def estimate_wait_s(self, priority: int) -> float:
        """Returns how long a new request of a priority would wait."""
        if len(self._running) < self.slots and not self._entries:
            return 0.0
        if self.slots <= 0:
            return NO_TARGET_RETRY_AFTER_S
        ahead = bisect.bisect(
            self._entries, priority, key=lambda entry: entry.priority
        )
        over = len(self._running) - self.slots
        return (ahead + 1 + max(over, 0)) * self.service_s / self.slots

    def offer(self, waiter: Waiter, *, now: float) -> Decision:
        """Takes a new request: admits, queues or refuses it."""
        left_s = waiter.deadline - now
        if left_s <= 0:
            return Refuse(waiter.id, NotRun(Reason.DEADLINE_PASSED))
        if len(self._running) < self.slots and not self._entries:
            self._running[waiter.id] = now
            return Admit(waiter.id)
        wait_s = self.estimate_wait_s(waiter.priority)
        longest_s = min(
            waiter.max_wait_s, left_s - MIN_SERVICE_PART * self.service_s
        )
        if wait_s > longest_s or self.slots <= 0:
            retry_after_s = max(wait_s, MIN_RETRY_AFTER_S)
            verdict = NotRun(Reason.QUEUE_FULL, retry_after_s)
            return Refuse(waiter.id, verdict)
        self._number += 1
        entry = _Entry(
            waiter.priority, self._number, waiter.id, now + longest_s
        )
        bisect.insort(self._entries, entry)
        self._numbers[waiter.id] = entry
        return Queued(waiter.id, entry.start_by)

    def finish(self, waiter_id: int, *, now: float) -> Iterator[Admit]:
        """Takes the end of an execution; yields what is to be sent next."""
        started_at = self._running.pop(waiter_id)
        change = (now - started_at) - self.service_s
        self.service_s += SERVICE_TIME_WEIGHT * change
        return self.admit_waiting(now=now)

    def release(self, waiter_id: int, *, now: float) -> Iterator[Admit]:
        """Takes back a slot that was not used; yields what is sent next."""
        self._running.pop(waiter_id)
        return self.admit_waiting(now=now)

    def admit_waiting(self, *, now: float) -> Iterator[Admit]:
        """Yields the requests that get the free slots."""
        while self._entries and len(self._running) < self.slots:
            entry = self._entries.pop(0)
            del self._numbers[entry.id]
            self._running[entry.id] = now
            yield Admit(entry.id)

    def expire(self, waiter_id: int) -> Refuse | None:
        """Refuses a request whose wait is over; None if it waits no more."""
        if not self.discard(waiter_id):
            return None
        retry_after_s = max(self.estimate_wait_s(0), MIN_RETRY_AFTER_S)
        return Refuse(waiter_id, NotRun(Reason.QUEUE_FULL, retry_after_s))

    def discard(self, waiter_id: int) -> bool:
        """Takes a waiting request out; returns whether it waited."""
        entry = self._numbers.pop(waiter_id, None)
        if entry is None:
            return False
        self._entries.remove(entry)
        return True

    def waiting(self) -> list[int]:
        """Returns the ids of the requests that wait, first to last."""
        return [entry.id for entry in self._entries]
