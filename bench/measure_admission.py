"""Measures admission at twice the capacity: class shares, waits, slots."""

import attrs

from bench.event_model import (
    Stream,
    find_quantile,
    make_exponential,
    run_single,
    select_served,
)
from bench.figure import Figure
from guavawing.model import CallClass
from guavawing.policy.admission import Admission
from guavawing.policy.class_queue import ClassQueue

SEED = 4
SLOTS = 10
QUEUE_LIMIT = 40
WORK_S = 0.02
CAPACITY = SLOTS / WORK_S
DURATION_S = 60.0
URGENT_DEADLINE_S = 0.2
# Offered load of each class as a share of the capacity; 2 in all.
OVERLOAD = (
    Stream(CallClass.URGENT, 0.4 * CAPACITY, URGENT_DEADLINE_S),
    Stream(CallClass.NORMAL, 0.8 * CAPACITY, 1.0),
    Stream(CallClass.BULK, 0.8 * CAPACITY, 4.0),
)


class AgingQueue(ClassQueue):
    """Alternative: orders calls by deadline plus an allowance of their class.

    A waiting call moves ahead of newer calls of higher classes as it ages.
    """

    __slots__ = ()
    ALLOWANCES_S = (0.0, 1.0, 4.0)

    def _pick_class(self) -> CallClass:
        waiting = [each for each in CallClass if self.count(each)]
        allowances = dict(zip(CallClass, self.ALLOWANCES_S, strict=True))

        def find_due(call_class: CallClass) -> float:
            deadline, _ = self._lanes[call_class].entries[0]
            return deadline + allowances[call_class]

        return min(waiting, key=find_due)


class StrictQueue(ClassQueue):
    """Baseline: strict priority, without guaranteed shares."""

    __slots__ = ()

    def _pick_class(self) -> CallClass:
        return next(each for each in CallClass if self.count(each))


class FreeingAdmission(Admission):
    """Baseline: frees the slot at the deadline of the call."""

    __slots__ = ("_freed",)

    def expire(self, *, now: float) -> list:
        """Ends calls at their deadline, even if the target still runs them."""
        actions = super().expire(now=now)
        for each in list(self._running.values()):
            if each.abandoned:
                actions += super().finish(each.call.id, now=now)
        return actions

    def finish(self, call_id: int, *, now: float) -> list:
        """Ignores the end of a call whose slot was already freed."""
        if call_id not in self._running:
            return []
        return super().finish(call_id, now=now)


@attrs.frozen
class _QueueOrder:
    name: str
    queue: type[ClassQueue]


QUEUE_ORDERS = (
    _QueueOrder("shares", ClassQueue),
    _QueueOrder("aging", AgingQueue),
    _QueueOrder("strict", StrictQueue),
)


def measure_classes(queue_order: _QueueOrder) -> list[Figure]:
    """Measures one queue order at twice the capacity."""
    admission = Admission(
        slots=SLOTS, queue_limit=QUEUE_LIMIT, queue=queue_order.queue()
    )
    model, target = run_single(
        admission,
        OVERLOAD,
        work=make_exponential(WORK_S),
        duration_s=DURATION_S,
        seed=SEED,
    )
    chosen = queue_order.name == "shares"
    figures = []
    for call_class in CallClass:
        offered = [c for c in model.calls if c.call_class is call_class]
        served = select_served(model.calls, call_class)
        name = f"admission_{queue_order.name}_{call_class}"
        share = len(served) / len(offered)
        p99_ms = 1000 * find_quantile([c.elapsed_s for c in served], 0.99)
        figures.append(Figure(f"{name}_served", share, "of-offered"))
        urgent = chosen and call_class is CallClass.URGENT
        bound_ms = 1000 * URGENT_DEADLINE_S if urgent else None
        figures.append(Figure(f"{name}_p99", p99_ms, "ms", bound_ms))
    bound = SLOTS if chosen else None
    figures.append(
        Figure(
            f"admission_{queue_order.name}_max_running",
            target.max_running,
            "calls",
            bound,
        )
    )
    figures.append(
        Figure(
            f"admission_{queue_order.name}_goodput",
            len(select_served(model.calls)) / DURATION_S / CAPACITY,
            "of-capacity",
        )
    )
    return figures


def measure_slot_rules() -> list[Figure]:
    """Compares rules for freeing slots when calls overrun their deadline."""
    stream = Stream(CallClass.NORMAL, 0.5 * CAPACITY, 0.1)
    rules = (
        ("freed-at-deadline", FreeingAdmission, False),
        ("held-to-end", Admission, False),
        ("held-to-end-target-stops-at-deadline", Admission, True),
    )
    figures = []
    for name, machine, ends_at_deadline in rules:
        # One call in ten takes 1 s, long past its deadline.
        model, target = run_single(
            machine(slots=SLOTS, queue_limit=QUEUE_LIMIT),
            [stream],
            work=lambda _, rng: 1.0 if rng.random() < 0.1 else 0.01,
            duration_s=DURATION_S,
            seed=SEED,
            ends_at_deadline=ends_at_deadline,
        )
        served = len(select_served(model.calls)) / len(model.calls)
        bound = SLOTS if machine is Admission else None
        figures += [
            Figure(f"slots_{name}_served", served, "of-offered"),
            Figure(
                f"slots_{name}_max_running",
                target.max_running,
                "calls",
                bound,
            ),
        ]
    return figures


async def run() -> list[Figure]:
    """Returns the figures of every queue order and slot rule."""
    figures = []
    for queue_order in QUEUE_ORDERS:
        figures += measure_classes(queue_order)
    return figures + measure_slot_rules()
