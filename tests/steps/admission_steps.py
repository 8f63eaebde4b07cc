"""Steps that drive the admission state machine."""

import collections
import random

from behave import given, then, when
from hypothesis import strategies

from bench import event_model
from guavawing.model import CallClass
from guavawing.policy.admission import Admission, QueuedCall
from tests.golden_files import check_golden
from tests.support import check_examples

MAX_STARTS_BEFORE_ANY_CLASS = 18


class Driver:
    """Sends events to the state machine and checks its invariants."""

    def __init__(self, slots, queue_limit):
        self.machine = Admission(slots=slots, queue_limit=queue_limit)
        self.limits = [slots, queue_limit]
        self.calls = {}
        self.waiting = {}
        self.running = set()
        self.answered = {}
        self.skipped = collections.Counter()
        self.log = []

    def apply_actions(self, actions, *, now):
        for action in actions:
            kind = type(action).__name__.lower()
            verdict = getattr(action, "verdict", None)
            reason = f" {verdict.reason}" if verdict else ""
            self.log.append(f"{kind} {action.call_id}{reason}")
            self.apply_action(kind, action.call_id, verdict, now)
        assert self.machine.running == len(self.running)
        assert self.machine.queued == len(self.waiting)
        assert self.machine.queued <= self.limits[1]

    def apply_action(self, kind, call_id, verdict, now):
        if kind == "start":
            call = self.calls[call_id]
            self.running.add(call_id)
            del self.waiting[call_id]
            assert len(self.running) <= self.limits[0]
            assert call.deadline > now, "a call was started after its deadline"
            self.skipped.update({c.call_class for c in self.waiting.values()})
            most = max(self.skipped.values())
            assert most <= MAX_STARTS_BEFORE_ANY_CLASS, "a class is starved"
            self.skipped[call.call_class] = 0
            return
        assert call_id not in self.answered, "a call was answered twice"
        self.answered[call_id] = verdict
        if kind == "refuse":
            assert call_id not in self.running, (
                "a call was refused after its start"
            )
            del self.waiting[call_id]
        else:
            assert call_id in self.running

    def offer(self, call_class, time_left_s, *, now):
        call = QueuedCall(len(self.calls) + 1, call_class, now + time_left_s)
        self.calls[call.id] = call
        if all(c.call_class is not call_class for c in self.waiting.values()):
            self.skipped[call_class] = 0
        self.waiting[call.id] = call
        self.apply_actions(self.machine.offer(call, now=now), now=now)

    def finish(self, call_id, *, now):
        self.running.discard(call_id)
        self.answered.setdefault(call_id, None)
        self.apply_actions(self.machine.finish(call_id, now=now), now=now)

    def finish_all(self, now, work=0.0):
        while self.running:
            now += work
            self.finish(min(self.running), now=now)
        return now

    def expire(self, *, now):
        self.apply_actions(self.machine.expire(now=now), now=now)

    def cancel(self, call_id, *, now):
        if call_id in self.running:
            self.answered.setdefault(call_id, None)
        self.apply_actions(self.machine.cancel(call_id), now=now)

    def set_limits(self, slots, queue_limit, *, now):
        self.limits = [slots, queue_limit]
        actions = self.machine.set_limits(
            slots=slots, queue_limit=queue_limit, now=now
        )
        self.apply_actions(actions, now=now)


@given("a target with {slots:d} slots and a queue limit of {limit:d}")
def step_target(context, slots, limit):
    context.driver = Driver(slots, limit)


@when('at {now:g} s calls "{classes}" with {left:g} s left are offered')
def step_offer(context, now, classes, left):
    for name in classes.split():
        context.driver.offer(CallClass(name), left, now=now)


@when("at {now:g} s deadlines are checked")
def step_expire(context, now):
    context.driver.expire(now=now)


@when("at {now:g} s the target ends call {call_id:d}")
def step_end(context, now, call_id):
    context.driver.finish(call_id, now=now)


@when("call {call_id:d} is cancelled")
def step_cancel(context, call_id):
    context.driver.cancel(call_id, now=0.0)


@when(
    "at {now:g} s the limits become {slots:d} slot and a queue limit of"
    " {limit:d}"
)
def step_limits(context, now, slots, limit):
    context.driver.set_limits(slots, limit, now=now)


@when("{count:d} times an urgent call is offered and the running call ends")
def step_urgent_load(context, count):
    driver = context.driver
    for number in range(1, count + 1):
        now = number * 0.01
        for _ in range(2):
            driver.offer(CallClass.URGENT, 100.0, now=now)
        driver.finish(min(driver.running), now=now)


@then('the actions are "{expected}"')
def step_actions(context, expected):
    assert context.driver.log == expected.split(", "), context.driver.log


@then('the actions include "{expected}"')
def step_actions_include(context, expected):
    assert expected in context.driver.log, context.driver.log


@then("each of {count:d} callers is admitted, at once or on its retry")
def step_retry(context, count):
    work, refused = 0.1, 0
    for number in range(1, count + 1):
        driver = Driver(2, 8)
        rng = random.Random(number)
        now = 0.0
        # The first calls give the machine an estimate of the service time.
        for _ in range(40):
            driver.offer(CallClass.NORMAL, 100.0, now=now)
            now = driver.finish_all(now, work)
        for _ in range(rng.randint(2, 14)):
            driver.offer(rng.choice([*CallClass]), 100.0, now=now)
        call_class, left = rng.choice([*CallClass]), rng.uniform(0.15, 1.0)
        driver.offer(call_class, left, now=now)
        verdict = driver.answered.get(len(driver.calls))
        if verdict is None:
            continue
        ends = dict.fromkeys(driver.running, now + work)
        retry_at = now + verdict.retry_after_s
        while ends and min(ends.values()) <= retry_at:
            call_id = min(ends, key=ends.get)
            end = ends.pop(call_id)
            driver.finish(call_id, now=end)
            ends |= {c: end + work for c in driver.running if c not in ends}
        driver.offer(call_class, left, now=retry_at)
        refused += driver.answered.get(len(driver.calls)) is not None
    assert refused == 0, refused


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["offer"] * 3 + ["finish"] * 2 + ["cancel", "expire", "limits"]
        ),
        strategies.integers(0, 9),
        strategies.floats(0.0, 0.3),
    ),
    max_size=120,
)


def run_events(driver, events):
    now = 0.0
    for kind, number, step_s in events:
        now += step_s
        match kind:
            case "offer":
                call_class = [*CallClass][number % 3]
                driver.offer(call_class, (number + 1) * 0.2, now=now)
            case "finish" if driver.running:
                running = sorted(driver.running)
                driver.finish(running[number % len(running)], now=now)
            case "cancel" if driver.calls:
                driver.cancel(number % len(driver.calls) + 1, now=now)
            case "expire":
                driver.expire(now=now)
            case "limits":
                driver.set_limits(number % 4, number, now=now)
        yield kind, number, now
    driver.finish_all(now)


@then("random events never violate an invariant of admission")
def step_property(context):
    @check_examples(
        400, EVENTS, strategies.integers(1, 4), strategies.integers(0, 12)
    )
    def check(events, slots, queue_limit):
        driver = Driver(slots, queue_limit)
        for _ in run_events(driver, events):
            pass
        driver.set_limits(4, 12, now=1e9)
        driver.apply_actions(driver.machine.expire(now=1e9), now=1e9)
        assert not driver.waiting and not driver.running
        assert set(driver.answered) == set(driver.calls)


@when("{urgent:g} urgent, {normal:g} normal, {bulk:g} bulk load is offered")
def step_overload_model(context, urgent, normal, bulk):
    slots, work_s, duration_s = 10, 0.02, 20.0
    capacity = slots / work_s
    streams = (
        event_model.Stream(CallClass.URGENT, urgent * capacity, 0.2),
        event_model.Stream(CallClass.NORMAL, normal * capacity, 1.0),
        event_model.Stream(CallClass.BULK, bulk * capacity, 4.0),
    )
    context.model, context.target = event_model.run_single(
        Admission(slots=slots, queue_limit=40),
        streams,
        work=event_model.make_exponential(work_s),
        duration_s=duration_s,
        seed=4,
    )
    context.capacity = capacity * duration_s


@then("every urgent call is served before its deadline")
def step_urgent_in_time(context):
    urgent = [c for c in context.model.calls if c.call_class == "urgent"]
    served = event_model.select_served(urgent, CallClass.URGENT)
    assert urgent and len(served) == len(urgent), (len(served), len(urgent))


@then("at least {share:g} of the capacity serves bulk calls")
def step_bulk_share(context, share):
    calls = context.model.calls
    served = event_model.select_served(calls, CallClass.BULK)
    assert len(served) / context.capacity >= share, len(served)


@then("the running calls never exceeded the slots")
def step_model_slots(context):
    target = context.target
    assert 0 < target.max_running <= target.admission.slots


@then("the trace of admission matches its golden file")
def step_golden(context):
    rng = random.Random(20)
    kinds = ["offer"] * 6 + ["finish"] * 2 + ["cancel", "expire"]
    events = [
        (rng.choice(kinds), rng.randint(0, 9), round(rng.uniform(0, 0.1), 3))
        for _ in range(60)
    ]
    driver = Driver(2, 6)
    lines = []
    for kind, number, now in run_events(driver, events):
        load = f"running {len(driver.running)} queued {len(driver.waiting)}"
        lines.append(f"{now:.3f} {kind} {number}: {load}")
        lines += [f"    {entry}" for entry in driver.log]
        driver.log.clear()
    check_golden("admission", "\n".join(lines) + "\n")
