"""Steps that simulate load patterns on the decision modules."""

import itertools

import attrs
from behave import then, when

from bench.fleet_model import simulate
from bench.fleet_patterns import PATTERNS
from bench.fleet_report import compute_worth_share

SEED = 5
# The faults of the patterns begin at 5 s. This shift moves them to 1 s, within
# the short simulations of the steps.
SHIFT_S = 4.0


@when('{seconds:d} s of the load pattern "{name}" are simulated')
def step_simulate(context, seconds, name):
    [pattern] = [each for each in PATTERNS if each.name == name]
    context.pattern = attrs.evolve(
        pattern,
        seconds=float(seconds),
        faults=tuple(
            attrs.evolve(fault, at=fault.at - SHIFT_S)
            for fault in pattern.faults
        ),
    )
    context.results = simulate(context.pattern, seed=SEED).results


@then("the worth of the served requests is at least {least:g}")
def step_worth(context, least):
    worth = compute_worth_share(context.pattern, context.results)
    assert worth >= least, worth


@then(
    "no kind of request is served over {most:d} percentage points less often"
    " than a less urgent one"
)
def step_order(context, most):
    kinds = [kind for kind in context.pattern.kinds if kind.weight]
    for first, other in itertools.permutations(kinds, 2):
        if first.service == other.service and first.priority < other.priority:
            gap = served_share(context, other) - served_share(context, first)
            assert gap * 100 <= most, (first.name, other.name, gap)


def served_share(context, kind):
    result = context.results[kind.name]
    return (result.in_time + result.late) / result.offered


@then("another simulation of it gives the same result")
def step_same(context):
    again = simulate(context.pattern, seed=SEED).results
    assert again == context.results
