"""Steps about requests that an owner passes on, without a network."""

import asyncio

from behave import given, then, when

from guavawing.sidecar.mesh_codec import decode_frame, encode_request
from guavawing.sidecar.mesh_fields import pack, unpack
from guavawing.traffic.model import (
    NO_TARGET_RECORD,
    Incarnation,
    LoadReport,
    TargetLimit,
    TargetPhase,
)
from guavawing.traffic.neighbours import (
    NO_NEIGHBOUR,
    NeighbourLoad,
    find_last_heard,
)
from guavawing.verdict import NotRun
from tests.sidecar_support import make_attempt
from tests.steps.sidecar_owner_steps import make_owner
from tests.steps.traffic_choice_steps import NOW

SERVICE_S = 0.5
REQUESTS = {
    "that must not be passed": None,
    "that tells of nothing": NO_NEIGHBOUR,
    "that tells of a neighbour": NeighbourLoad("10.0.0.9", 3, 99.96),
}


async def submit(context, name, make_neighbour):
    now = asyncio.get_running_loop().time()
    context.owner.submit(
        make_attempt(name, now=now),
        lambda outcome: context.outcomes.setdefault(name, outcome),
        local=False,
        entry="10.0.0.1",
        neighbour=make_neighbour(now),
    )


async def occupy(context, slots):
    await make_owner(context, slots)
    context.outcomes = {}
    context.owner._queue.service_s = SERVICE_S
    await submit(context, "first", lambda _: None)


@given("an owner with {slots:d} slot, which is occupied")
@given("an owner with {slots:d} slots, one of which is occupied")
def step_owner(context, slots):
    context.run(occupy(context, slots))


@when('attempt "{name}" tells of {free:d} free slots of "{node}" {ago:g} s ago')
def step_tell(context, name, free, node, ago):
    make = lambda now: NeighbourLoad(node, free, now - ago)  # noqa: E731
    context.run(submit(context, name, make))


@when('attempt "{name}" tells of nothing')
def step_tell_nothing(context, name):
    context.run(submit(context, name, lambda _: NO_NEIGHBOUR))


@when('attempt "{name}" was passed on already')
def step_passed_already(context, name):
    context.run(submit(context, name, lambda _: None))


async def end_first(context):
    context.pool.executions["first"].abandon()
    await asyncio.sleep(0.05)


@then('"{name}" is passed on to "{node}" and never runs here')
def step_passed(context, name, node):
    outcome = context.outcomes[name]
    assert isinstance(outcome.verdict, NotRun), outcome
    assert outcome.passed_to == node, outcome
    context.run(end_first(context))
    assert name not in context.pool.sent


@then('"{name}" waits here')
def step_waits(context, name):
    assert name not in context.outcomes, context.outcomes[name]
    assert name not in context.pool.sent


@then('"{name}" runs here')
def step_runs(context, name):
    assert name in context.pool.sent


@when('owner "{name}" reports its load')
def step_reports(context, name):
    assert context.views[name].report is not None


@when('owner "{name}" was asked already')
def step_asked(context, name):
    context.tried.add(name)


@when('owner "{name}" has failed thrice')
def step_failed(context, name):
    for _ in range(3):
        context.views[name].record_failure(now=NOW)


@when('owner "{name}" was lost')
def step_lost(context, name):
    context.views[name].alive = False


def choose_named(context, name):
    return context.balancer.choose_named(
        context.views.values(), name, excluded=context.tried, now=NOW
    )


@then('a request that is passed on to "{name}" goes there')
def step_goes(context, name):
    choice = choose_named(context, name)
    assert choice.owner.node == name and not choice.spare_only


@then('a request that is passed on to "{name}" is chosen as usual')
def step_usual(context, name):
    assert choose_named(context, name) is None


@when('owner "{name}" reports {running:d} running {ago:g} s ago')
def step_report_ago(context, name, running, ago):
    load = LoadReport(TargetPhase.READY, context.slots, running, 0, 0.1)
    context.views[name].apply_report(load, now=NOW - ago)


@when(
    'owner "{name}" reports {running:d} running and a rate limit that admits'
    " none for {wait_s:g} s"
)
def step_report_limit(context, name, running, wait_s):
    load = LoadReport(
        TargetPhase.READY,
        context.slots,
        running,
        0,
        0.1,
        limit=TargetLimit(Incarnation(name, 0), 2.0),
        limit_wait_s=wait_s,
    )
    context.views[name].apply_report(load, now=NOW)


def find_told(context, name):
    return find_last_heard(context.views.values(), context.views[name], now=NOW)


@then('owner "{name}" is told of {free:d} free slots of "{node}"')
def step_told(context, name, free, node):
    load = find_told(context, name)
    assert (load.node, load.free) == (node, free), load


@then('owner "{name}" is told of nothing')
def step_told_nothing(context, name):
    assert find_told(context, name) is NO_NEIGHBOUR


def encode(tells):
    return encode_request(
        1,
        make_attempt("r", now=NOW),
        now=NOW,
        known=NO_TARGET_RECORD,
        neighbour=REQUESTS[tells],
    )


@when("a request {tells} is encoded and decoded")
def step_encode(context, tells):
    context.told = REQUESTS[tells]
    context.frame = decode_frame(encode(tells), now=NOW)


@then("what it tells is the same")
def step_same(context):
    told, read = context.told, context.frame.neighbour
    if told is None:
        assert read is None
        return
    assert (read.node, read.free) == (told.node, told.free)
    assert abs(read.at - told.at) < 1e-9


@when("a request {tells} is sent without its last field")
def step_earlier(context, tells):
    payload = pack(tuple(unpack(encode(tells))[:-1]))
    context.frame = decode_frame(payload, now=NOW)


@then("it must not be passed on")
def step_not_passed(context):
    assert context.frame.neighbour is None
