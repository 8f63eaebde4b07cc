"""Queue of calls: by class, and by earliest deadline within a class.

The highest non-empty class is served next, except that each lower class is
guaranteed a share of the starts. A non-empty class accrues credit equal to
its share with every start; with a credit of one it is served before all
others. Urgent calls are therefore hardly delayed by lower classes, and a
waiting class is served after at most `1 / share` other starts, plus one for
each other class that has a full credit too.
"""

import bisect

import attrs

from guavawing.model import CallClass

__all__ = ["CLASS_ORDER", "ClassQueue", "QueuedCall", "guaranteed_share"]

CLASS_ORDER = (CallClass.URGENT, CallClass.NORMAL, CallClass.BULK)
_GUARANTEED_SHARES = {
    CallClass.URGENT: 0.0,
    CallClass.NORMAL: 1 / 8,
    CallClass.BULK: 1 / 16,
}


def guaranteed_share(call_class: CallClass) -> float:
    """Returns the minimum share of starts while all classes have calls."""
    if call_class is CallClass.URGENT:
        return 1.0 - sum(_GUARANTEED_SHARES.values())
    return _GUARANTEED_SHARES[call_class]


@attrs.frozen
class QueuedCall:
    """A call that requests a slot.

    Attributes:
        id: Unique among the calls of one target.
        call_class: Class, which determines the order of service.
        deadline: Event loop's time until which the caller waits, in
            seconds.
    """

    id: int
    call_class: CallClass
    deadline: float


class _SingleClassQueue:
    """The queued calls of one class, by deadline."""

    __slots__ = ("credit", "entries", "share")

    def __init__(self, share: float) -> None:
        self.share = share
        self.credit = 0.0
        self.entries: list[tuple[float, int]] = []


class ClassQueue:
    """The queued calls of one target, in order of service."""

    __slots__ = ("_calls", "_queues")

    def __init__(self) -> None:
        self._calls: dict[int, QueuedCall] = {}
        self._queues = {
            each: _SingleClassQueue(_GUARANTEED_SHARES[each])
            for each in CLASS_ORDER
        }

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._calls

    def count(self, call_class: CallClass) -> int:
        """Returns the number of queued calls of a class."""
        return len(self._queues[call_class].entries)

    def count_above(self, call_class: CallClass) -> int:
        """Returns the number of queued calls of higher classes."""
        above = CLASS_ORDER[: CLASS_ORDER.index(call_class)]
        return sum(self.count(each) for each in above)

    def count_before(self, call: QueuedCall) -> int:
        """Returns the number of calls of its class ahead of a call."""
        entries = self._queues[call.call_class].entries
        return bisect.bisect(entries, (call.deadline, call.id))

    def last(self, call_class: CallClass) -> QueuedCall | None:
        """Returns the call of a class with the latest deadline, if any."""
        entries = self._queues[call_class].entries
        return self._calls[entries[-1][1]] if entries else None

    def list_expired(self, *, now: float) -> list[QueuedCall]:
        """Returns the queued calls whose deadline has passed."""
        expired = []
        for queue in self._queues.values():
            for deadline, call_id in queue.entries:
                if deadline > now:
                    break
                expired.append(self._calls[call_id])
        return expired

    def push(self, call: QueuedCall) -> None:
        """Adds a call."""
        self._calls[call.id] = call
        queue = self._queues[call.call_class]
        bisect.insort(queue.entries, (call.deadline, call.id))

    def discard(self, call_id: int) -> QueuedCall | None:
        """Removes and returns a call, or returns None if it is not queued."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return None
        queue = self._queues[call.call_class]
        index = bisect.bisect_left(queue.entries, (call.deadline, call.id))
        del queue.entries[index]
        if not queue.entries:
            queue.credit = 0.0
        return call

    def pop(self) -> QueuedCall:
        """Removes and returns the call to serve next.

        Raises:
            IndexError: If the queue is empty.
        """
        call_class = self._pick_class()
        for queue in self._queues.values():
            if queue.entries:
                queue.credit = min(1.0, queue.credit + queue.share)
        self._queues[call_class].credit = 0.0
        _, call_id = self._queues[call_class].entries[0]
        call = self.discard(call_id)
        assert call is not None
        return call

    def _pick_class(self) -> CallClass:
        waiting = [each for each in CLASS_ORDER if self._queues[each].entries]
        for each in waiting:
            if self._queues[each].credit >= 1.0:
                return each
        return waiting[0]
