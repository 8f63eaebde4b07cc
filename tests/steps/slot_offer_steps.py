"""Steps about offers of free slots."""

import statistics

import attrs
from behave import given, then, when

from bench.fleet_evenness import SAMPLE_PERIOD_S
from bench.fleet_experiment import override
from bench.fleet_load import Kind, Moments, Pattern
from bench.fleet_model import simulate
from guavawing.traffic import neighbours, slot_offers
from guavawing.traffic.slot_offers import SlotOffers
from tests.steps.traffic_choice_steps import NOW, choose

# Two thirds of the capacity, one data centre, an entry node beside each target.
UNEVEN = Pattern(
    name="uneven",
    owners={"desk": 24},
    slots=5,
    speeds=(0.5, 0.7, 1.0, 1.0, 1.5, 1.7),
    kinds=(Kind("read", "desk", 1.0, 0.15, 0.5, 0.6, 3.0, 1),),
    rate=500.0,
    seconds=2.0,
    data_centres=1,
    moments=Moments(0.15, 2.5, 0.6),
)


@attrs.frozen
class Figures:
    """Figures of one simulation.

    Attributes:
        wait_s: Mean wait for a slot, in seconds.
        refusals: Refusals by owners, without those that pass a request on.
        idle_while_waiting: Share of the slot time that is idle while a request
            waits.
        busiest: Load of the busiest target over the mean.
        unserved: Requests not served within the latency objective.
        messages: Attempts and answers.
    """

    wait_s: float
    refusals: int
    idle_while_waiting: float
    busiest: float
    unserved: int
    messages: int


def simulate_once(seed):
    fleet = simulate(UNEVEN, seed=seed)
    evenness, result = fleet.evenness["desk"], fleet.results["read"]
    return Figures(
        evenness.queued * SAMPLE_PERIOD_S / result.offered,
        fleet.refusals - fleet.passed,
        evenness.idle_while_waiting_share,
        evenness.compute_busiest_ratio(),
        result.offered - result.in_time,
        2 * fleet.attempts,
    )


def find_means(context, name):
    return [
        statistics.fmean(getattr(each, name) for each in runs)
        for runs in (context.old, context.new)
    ]


@when("{seeds:d} seeds of uneven targets are simulated with offers and without")
def step_simulate(context, seeds):
    with override(neighbours, "MAX_AGE_S", 0.0):
        with override(slot_offers, "OFFER_S", 0.0):
            context.old = [simulate_once(each) for each in range(seeds)]
        context.new = [simulate_once(each) for each in range(seeds)]


@when(
    "{seeds:d} seeds of uneven targets are simulated with requests passed on"
    " and without"
)
def step_simulate_passed(context, seeds):
    with override(neighbours, "MAX_AGE_S", 0.0):
        context.old = [simulate_once(each) for each in range(seeds)]
    context.new = [simulate_once(each) for each in range(seeds)]


@then("with them the mean wait is shorter")
def step_wait(context):
    old, new = find_means(context, "wait_s")
    assert new < old, (new, old)


@then("with them fewer requests are refused")
def step_refusals(context):
    old, new = find_means(context, "refusals")
    assert new < old, (new, old)


@then("with them fewer slots are idle while a request waits")
def step_idle(context):
    old, new = find_means(context, "idle_while_waiting")
    assert new < old, (new, old)


@then("with them the busiest target is closer to the mean")
def step_busiest(context):
    old, new = find_means(context, "busiest")
    assert new < old, (new, old)


@then("with them no more requests miss their latency objective")
def step_lost(context):
    old, new = find_means(context, "unserved")
    assert new <= old, (new, old)


@then("with them no more messages are sent")
def step_messages(context):
    old, new = find_means(context, "messages")
    assert new <= old, (new, old)


@given('an owner that has offered its free slot to "{entry}" at {seconds:g} s')
def step_offered(context, entry, seconds):
    context.offers = SlotOffers()
    assert context.offers.make(entry, free=1, now=seconds)


@when('a request of "{entry}" arrives')
def step_arrives(context, entry):
    context.offers.record_arrival(entry)


@then('at {seconds:g} s it offers nothing to "{entry}"')
def step_no_offer(context, seconds, entry):
    assert not context.offers.make(entry, free=1, now=seconds)


@then('at {seconds:g} s it offers a slot to "{entry}"')
def step_offers(context, seconds, entry):
    assert context.offers.make(entry, free=1, now=seconds)


@when('owner "{name}" offers {count:d} slots {ago:g} s ago')
def step_receive_offers(context, name, count, ago):
    for _ in range(count):
        context.views[name].offers.add(now=NOW - ago)


@when('owner "{name}" refuses a request')
def step_refuses(context, name):
    context.views[name].record_refusal(0.0, now=NOW)


@then(
    "of {count:d} requests that are useful for {useful_s:g} s at least"
    ' {least:d} go to "{name}"'
)
def step_most(context, count, useful_s, least, name):
    chosen = [choose(context, context.balancer, useful_s) for _ in range(count)]
    assert sum(each.owner.node == name for each in chosen) >= least, chosen


@then(
    "the next requests that are useful for {useful_s:g} s go to"
    ' "{name}" and then to others'
)
def step_next(context, useful_s, name):
    first = choose(context, context.balancer, useful_s)
    first.owner.record_sent(now=NOW)
    assert first.owner.node == name
    others = [choose(context, context.balancer, useful_s) for _ in range(20)]
    assert any(each.owner.node != name for each in others)
