"""Admission of requests to one target: its slots and a short queue.

One event comes in, actions go out; `now` is the event loop's time in seconds.
A request waits only as long as its answer can still come in time to be of
full use. One that would have to wait longer is refused at once, with the time
until there is room. While there is more work than slots, those that can still
be answered in time go before those that are late already: what the target can
execute is the same, and more answers come in time.
"""

import bisect
import collections
import itertools
from collections.abc import Iterator

import attrs

from guavawing.verdict import NotRun, Reason

__all__ = ["Admit", "Decision", "Queued", "Refuse", "SlotQueue", "Waiter"]

# Weight of the newest execution in the mean time that a slot is held.
SERVICE_TIME_WEIGHT = 0.1
# Weight of the newest request in the share of refused ones: some hundred
# requests, which is about a second at a full target.
REFUSED_WEIGHT = 0.02
INITIAL_SERVICE_S = 0.1
# An execution is expected to take at most this many times the mean: about nine
# in ten do where times spread by a factor of two.
USUAL_SERVICE_FACTOR = 1.5
# Nothing is sent to the target if less than this part of the mean is left.
MIN_SERVICE_PART = 0.5
# Wait that is allowed where no answer can come in time any more, in seconds:
# a slot that becomes free within a round trip is used.
MIN_WAIT_S = 0.03
MIN_RETRY_AFTER_S = 0.04
# A target that drains or is gone: another one has to be found first.
NO_TARGET_RETRY_AFTER_S = 0.25


@attrs.frozen
class Waiter:
    """A request that asks for a slot.

    Attributes:
        id: Unique at this node.
        priority: Order of service, 0 first.
        late: Whether its answer comes too late to be of full use anyway.
        deadline: Time at which it is given up.
        useful_until: Time until which its answer is of full use.
        spare_only: Whether it may use a slot that nobody waits for only.
        kind: Kind of the request: those of one kind take about as long.
    """

    id: int
    priority: int
    late: bool
    deadline: float
    useful_until: float
    spare_only: bool
    kind: int = 0


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
    late: bool
    number: int
    id: int = attrs.field(order=False)
    start_by: float = attrs.field(order=False)
    kind: int = attrs.field(order=False)


class SlotQueue:
    """Slots and queue of one target.

    Attributes:
        slots: Requests that the target executes at a time.
        service_s: Mean time that a request holds its slot, in seconds.
        refused_share: Share of the latest requests that found no room.
        kind_s: The mean time by kind of request that was executed.
    """

    __slots__ = (
        "_entries",
        "_executed",
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
        self.service_s = INITIAL_SERVICE_S
        self.kind_s: dict[int, float] = {}
        self._executed: collections.Counter[int] = collections.Counter()
        self.refused_share = 0.0
        # Start of the execution and kind, by id.
        self._running: dict[int, tuple[float, int]] = {}
        self._entries: list[_Entry] = []
        self._numbers: dict[int, _Entry] = {}
        self._number = 0

    @property
    def knows_service_time(self) -> bool:
        """Whether the mean comes from executions."""
        return bool(self._executed)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._entries)

    def expect_service_s(self, kind: int) -> float:
        """Returns how long a request of a kind holds a slot."""
        return self.kind_s.get(kind, self.service_s)

    def estimate_wait_s(self, priority: int, *, late: bool) -> float:
        """Returns how long a new request would wait."""
        if len(self._running) < self.slots and not self._entries:
            return 0.0
        if self.slots <= 0:
            return NO_TARGET_RETRY_AFTER_S
        ahead = bisect.bisect(
            self._entries,
            (priority, late),
            key=lambda entry: (entry.priority, entry.late),
        )
        over = len(self._running) - self.slots
        ahead_s = sum(
            self.expect_service_s(entry.kind)
            for entry in itertools.islice(self._entries, ahead)
        )
        return (ahead_s + (1 + max(over, 0)) * self.service_s) / self.slots

    def offer(self, waiter: Waiter, *, now: float) -> Decision:
        """Takes a new request: admits, queues or refuses it."""
        left_s = waiter.deadline - now
        if left_s <= 0:
            return Refuse(waiter.id, NotRun(Reason.DEADLINE_PASSED))
        if len(self._running) < self.slots and not self._entries:
            self._running[waiter.id] = (now, waiter.kind)
            self._record_offer(waiter, refused=False)
            return Admit(waiter.id)
        wait_s = self.estimate_wait_s(waiter.priority, late=waiter.late)
        longest_s = self._longest_wait_s(waiter, now)
        if wait_s > longest_s or self.slots <= 0:
            self._record_offer(waiter, refused=True)
            retry_after_s = max(wait_s - longest_s, MIN_RETRY_AFTER_S)
            verdict = NotRun(Reason.QUEUE_FULL, retry_after_s)
            return Refuse(waiter.id, verdict)
        self._record_offer(waiter, refused=False)
        self._number += 1
        entry = _Entry(
            waiter.priority,
            waiter.late,
            self._number,
            waiter.id,
            now + longest_s,
            waiter.kind,
        )
        bisect.insort(self._entries, entry)
        self._numbers[waiter.id] = entry
        return Queued(waiter.id, entry.start_by)

    def finish(self, waiter_id: int, *, now: float) -> Iterator[Admit]:
        """Takes the end of an execution; yields what is to be sent next."""
        started_at, kind = self._running.pop(waiter_id)
        self._record_execution(kind, now - started_at)
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
            self._running[entry.id] = (now, entry.kind)
            yield Admit(entry.id)

    def expire(self, waiter_id: int) -> Refuse | None:
        """Refuses a request whose wait is over; None if it waits no more."""
        if not self.discard(waiter_id):
            return None
        verdict = NotRun(Reason.QUEUE_FULL, MIN_RETRY_AFTER_S)
        return Refuse(waiter_id, verdict)

    def discard(self, waiter_id: int) -> bool:
        """Takes a waiting request out; returns whether it waited."""
        entry = self._numbers.pop(waiter_id, None)
        if entry is None:
            return False
        self._entries.remove(entry)
        return True

    def _record_execution(self, kind: int, held_s: float) -> None:
        self._executed[kind] += 1
        # The first executions count in full, so that the mean is soon right.
        executed = self._executed.total()
        weight = max(SERVICE_TIME_WEIGHT, 1 / executed)
        self.service_s += weight * (held_s - self.service_s)
        weight = max(SERVICE_TIME_WEIGHT, 1 / self._executed[kind])
        known_s = self.kind_s.get(kind, held_s)
        self.kind_s[kind] = known_s + weight * (held_s - known_s)

    def _record_offer(self, waiter: Waiter, *, refused: bool) -> None:
        # What came for spare slots only tells nothing of those who queue.
        if not waiter.spare_only:
            change = refused - self.refused_share
            self.refused_share += REFUSED_WEIGHT * change

    def _longest_wait_s(self, waiter: Waiter, now: float) -> float:
        """Returns how long a request may wait to be of use."""
        if waiter.spare_only:
            return 0.0
        expected_s = self.expect_service_s(waiter.kind)
        useful_s = waiter.useful_until - now
        useful_s -= USUAL_SERVICE_FACTOR * expected_s
        left_s = waiter.deadline - now - MIN_SERVICE_PART * expected_s
        return min(max(useful_s, MIN_WAIT_S), left_s)
