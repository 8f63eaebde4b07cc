"""Steps about the time allotted to a request."""

import math
from random import Random

from behave import given, then, when

from guavawing.traffic.durations import Durations
from guavawing.traffic.process_end import LAST_ANSWER_S, ProcessEnd
from guavawing.traffic.slot_queue import Admit, Refuse, SlotQueue, Waiter
from guavawing.traffic.time_limit import compute_time_limit

TOLERANCE_S = 1e-9


def parse_time(text):
    return None if text == "-" else float(text.removesuffix(" s"))


@when(
    "a client waits for {client}, the route allows {route} and the process ends"
    " in {process}"
)
def step_allot(context, client, route, process):
    context.time_s = compute_time_limit(
        client_s=parse_time(client),
        route_s=parse_time(route),
        process_s=math.inf if process == "-" else parse_time(process),
    )


@then("{seconds:g} s are allotted")
def step_gets(context, seconds):
    assert abs(context.time_s - seconds) < TOLERANCE_S, context.time_s


@given("an entry node whose process ends in {seconds:g} s")
def step_ends(context, seconds):
    context.ends_at = seconds


@given(
    "a target that takes {seconds:g} s for each request, with {slots:d} slot"
)
def step_target(context, seconds, slots):
    context.queue = SlotQueue()
    context.queue.slots = slots
    context.queue.service_s = seconds


@when("requests with {left_s:g} s to their deadline arrive at 0 s and {at:g} s")
def step_arrive(context, left_s, at):
    context.decisions = []
    for number, now in enumerate((0.0, at)):
        time_s = compute_time_limit(
            client_s=left_s, route_s=None, process_s=context.ends_at - now
        )
        ends_at = now + time_s
        waiter = Waiter(number, 1, False, ends_at, ends_at, False)
        context.decisions.append(context.queue.offer(waiter, now=now))


@then("the first one runs")
def step_first(context):
    assert context.decisions[0] == Admit(0), context.decisions


@then("the second one is refused")
def step_second(context):
    assert isinstance(context.decisions[1], Refuse), context.decisions


def parse_known(text):
    return None if text == "unknown" else float(text)


@given("a process that answers requests for another {seconds:g} s")
def step_process(context, seconds):
    context.process_end = ProcessEnd(at=seconds, clients_informed=True)


@then(
    "a {kind:w} request with {deadline_s:g} s to its deadline, {wait_s:g} s of"
    " wait and {service} s of service, nearly always within {longest} s,"
    " {begins}"
)
def step_begins(context, kind, deadline_s, wait_s, service, longest, begins):
    # The last answer is due the stated time after this one.
    now = -LAST_ANSWER_S
    allowed = context.process_end.can_finish(
        now=now,
        wait_s=wait_s,
        service_s=parse_known(service),
        longest_s=parse_known(longest),
        idempotent=kind == "safe",
        deadline=now + deadline_s,
    )
    assert allowed is (begins == "begins"), allowed


@given(
    "{first:d} requests that took {first_s:g} s and {second:d} that took"
    " {second_s:g} s"
)
def step_durations(context, first, first_s, second, second_s):
    context.durations = Durations()
    rng = Random(1)
    taken = [first_s] * first + [second_s] * second
    rng.shuffle(taken)
    for seconds in taken:
        context.durations.observe("read", seconds)


@given(
    "{first:d} requests that took {first_s:g} s and then {second:d} that took"
    " {second_s:g} s"
)
def step_durations_in_turn(context, first, first_s, second, second_s):
    context.durations = Durations()
    for seconds in [first_s] * first + [second_s] * second:
        context.durations.observe("read", seconds)


@when("{count:d} requests of each of {kinds:d} other kinds have ended")
def step_other_kinds(context, count, kinds):
    for kind in range(kinds):
        for _ in range(count):
            context.durations.observe(kind, 1.0)


@then("nearly all of them took at most {seconds:g} s, to a quarter above")
def step_longest(context, seconds):
    found_s = context.durations.find_longest_s("read")
    assert seconds <= found_s <= 1.26 * seconds, found_s


@then("what nearly all of them took is not known")
def step_longest_unknown(context):
    assert context.durations.find_longest_s("read") is None
