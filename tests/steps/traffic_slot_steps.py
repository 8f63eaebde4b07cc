"""Steps about the slot queue of a target."""

from behave import given, then, when
from hypothesis import strategies as st

from guavawing.traffic.fair_share import yields_to_others
from guavawing.traffic.slot_queue import (
    Admit,
    Queued,
    Refuse,
    SlotQueue,
    Waiter,
)
from guavawing.verdict import NotRun
from tests.support import check_examples

USUAL_PRIORITY = 2
# Usage of a request without a client account.
NO_USAGE = 0.0
CALL, PACKAGE = 6, 11


class Session:
    """Offers named requests to a queue and records their states."""

    def __init__(self, slots, service_s):
        self.queue = SlotQueue()
        self.queue.slots = slots
        self.queue.service_s = service_s
        self.names = {}
        self.state = {}
        self.verdicts = {}

    def arrive(
        self,
        name,
        now,
        *,
        priority=USUAL_PRIORITY,
        useful_s=1.0,
        deadline_s=2.0,
        late=False,
        spare=False,
        kind=0,
        yields=False,
    ):
        number = len(self.names) + 1
        self.names[number] = name
        waiter = Waiter(
            number,
            priority,
            late,
            now + deadline_s,
            now + useful_s,
            spare,
            kind,
            yields,
        )
        self.record(self.queue.offer(waiter, now=now))

    def record(self, decision):
        name = self.names[decision.id]
        match decision:
            case Admit():
                self.state[name] = "runs"
            case Queued():
                self.state[name] = "waits"
            case Refuse(verdict=verdict):
                self.state[name] = "refused"
                self.verdicts[name] = verdict

    def number(self, name):
        return next(n for n, each in self.names.items() if each == name)

    def end(self, name, now):
        del self.state[name]
        for admit in self.queue.finish(self.number(name), now=now):
            self.record(admit)


@given("a slot queue of {slots:d} slots whose executions take {service_s:g} s")
def step_queue(context, slots, service_s):
    context.session = Session(slots, service_s)


@given(
    "a slot queue of {slots:d} slots that executes mostly {most}, calls in"
    " {call_s:g} s and packages in {package_s:g} s"
)
def step_queue_kinds(context, slots, most, call_s, package_s):
    session = context.session = Session(slots, call_s)
    for number in range(40):
        rare = number % 10 == 0
        package = rare if most == "calls" else not rare
        held_s = package_s if package else call_s
        now = number * 0.5
        session.arrive(f"warm{number}", now, kind=PACKAGE if package else CALL)
        session.end(f"warm{number}", now + held_s)


@when('at {now:g} s calls "{names}" arrive')
def step_arrive_calls(context, now, names):
    arrive_all(context, names, now, kind=CALL, priority=1, useful_s=1.0)


@when(
    'at {now:g} s packages "{names}" arrive that are useful for {useful_s:g} s'
)
def step_arrive_packages(context, now, names, useful_s):
    arrive_all(context, names, now, kind=PACKAGE, useful_s=useful_s)


def arrive_all(context, names, now, **options):
    for name in names.split():
        context.session.arrive(name, now, **options)


@when('at {now:g} s requests "{names}" arrive')
def step_arrive(context, now, names):
    arrive_all(context, names, now)


@when(
    'at {now:g} s requests "{names}" arrive that are useful for {useful_s:g} s'
)
def step_arrive_useful(context, now, names, useful_s):
    arrive_all(context, names, now, useful_s=useful_s)


@when(
    'at {now:g} s requests "{names}" arrive with {left_s:g} s to their deadline'
)
def step_arrive_short(context, now, names, left_s):
    arrive_all(context, names, now, deadline_s=left_s)


@when('at {now:g} s requests "{names}" of priority {priority:d} arrive')
def step_arrive_priority(context, now, names, priority):
    arrive_all(context, names, now, priority=priority)


@when('at {now:g} s late requests "{names}" arrive')
def step_arrive_late(context, now, names):
    arrive_all(context, names, now, late=True, useful_s=0.0)


@when('at {now:g} s spare requests "{names}" arrive')
def step_arrive_spare(context, now, names):
    arrive_all(context, names, now, spare=True)


@when('at {now:g} s "{name}" ends')
def step_end(context, now, name):
    context.session.end(name, now)


@when("the target has {slots:d} slots")
def step_slots(context, slots):
    queue = context.session.queue
    queue.slots = slots
    for admit in queue.admit_waiting(now=0.0):
        context.session.record(admit)


@then('"{names}" {state:w}')
def step_state(context, names, state):
    expected = {"wait": "waits", "run": "runs"}.get(state, state)
    found = {name: context.session.state.get(name) for name in names.split()}
    assert set(found.values()) == {expected}, found


@then('"{names}" is refused')
@then('"{names}" are refused')
def step_refused(context, names):
    found = {name: context.session.state.get(name) for name in names.split()}
    assert set(found.values()) == {"refused"}, found


@then(
    '"{name}" is refused with {reason} and a Retry-After of at least'
    " {seconds:g} s"
)
def step_refused_until(context, name, reason, seconds):
    verdict = context.session.verdicts[name]
    assert isinstance(verdict, NotRun)
    assert verdict.reason == reason, verdict
    assert verdict.retry_after_s >= seconds, verdict


@then("the share of refused requests is {percent:d} %")
def step_share(context, percent):
    share = context.session.queue.refused_share
    assert round(share * 100) == percent, share


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "end", "expire", "discard"]),
        st.integers(0, 3),
        st.booleans(),
        st.booleans(),
        st.floats(0.01, 1.0),
    ),
    max_size=60,
)


@then("{count:d} random sessions of a slot queue keep its invariants")
def step_random(context, count):
    @check_examples(count, st.integers(1, 4), EVENTS)
    def check(slots, events):
        session = Session(slots, 0.05)
        now = 0.0
        for step, (kind, priority, late, spare, value) in enumerate(events):
            now += 0.01
            running = [n for n, s in session.state.items() if s == "runs"]
            waiting = [n for n, s in session.state.items() if s == "waits"]
            if kind == "arrive":
                session.arrive(
                    str(step),
                    now,
                    priority=priority,
                    late=late,
                    spare=spare,
                    useful_s=value,
                )
                if session.state[str(step)] == "waits":
                    assert len(running) == slots, (
                        "waits although a slot is free"
                    )
                    assert not spare
            elif kind == "end" and running:
                session.end(running[0], now)
            elif kind == "expire" and waiting:
                refusal = session.queue.expire(
                    session.number(waiting[0]), now=now
                )
                session.record(refusal)
            elif kind == "discard" and waiting:
                assert session.queue.discard(session.number(waiting[0]))
                del session.state[waiting[0]]
            states = list(session.state.values())
            assert states.count("runs") <= slots
            assert states.count("runs") == session.queue.running
            assert states.count("waits") == session.queue.queued


@when(
    'at {now:g} s requests "{names}" of priority {priority:d} arrive beyond'
    " their account's share"
)
def step_arrive_excess(context, now, names, priority):
    arrive_all(context, names, now, priority=priority, yields=True)


@then(
    "{count:d} random sessions without accounts admit by priority, lateness"
    " and arrival"
)
def step_order_without_accounts(context, count):
    requests = st.lists(
        st.tuples(st.integers(0, 3), st.booleans()), min_size=1, max_size=20
    )

    @check_examples(count, requests)
    def check(found):
        session = Session(1, 0.001)
        session.arrive("first", 0.0)
        for number, (priority, late) in enumerate(found):
            request_id = str(number).encode()
            session.arrive(
                str(number),
                0.001,
                priority=priority,
                late=late,
                deadline_s=9.0,
                yields=yields_to_others(request_id, NO_USAGE),
            )
        waiting = [n for n, s in session.state.items() if s == "waits"]
        expected = sorted(
            waiting, key=lambda name: (*found[int(name)], int(name))
        )
        running, admitted = "first", []
        while waiting:
            session.end(running, 0.002)
            [running] = [n for n, s in session.state.items() if s == "runs"]
            admitted.append(running)
            waiting.remove(running)
        assert admitted == expected, (admitted, expected)
