"""Steps that play load patterns on the decision modules."""

import itertools

import attrs
from behave import then, when

from bench.fleet_model import play
from bench.fleet_patterns import PATTERNS
from bench.fleet_report import find_worth

SEED = 5
# Troubles of the patterns begin at 5 s; here they begin earlier.
EARLIER_S = 4.0


@when('{seconds:d} s of the load pattern "{name}" are played')
def step_play(context, seconds, name):
    [pattern] = [each for each in PATTERNS if each.name == name]
    context.pattern = attrs.evolve(
        pattern,
        seconds=float(seconds),
        troubles=tuple(
            attrs.evolve(trouble, at=trouble.at - EARLIER_S)
            for trouble in pattern.troubles
        ),
    )
    context.played = play(context.pattern, seed=SEED)


@then("the worth of what is served is at least {least:g}")
def step_worth(context, least):
    worth = find_worth(context.pattern, context.played)
    assert worth >= least, worth


@then(
    "no kind of request is served less often than a less urgent one by over"
    " {most:d} in 100"
)
def step_order(context, most):
    kinds = [kind for kind in context.pattern.kinds if kind.weight]
    for one, other in itertools.permutations(kinds, 2):
        if one.service == other.service and one.priority < other.priority:
            gap = find_share(context, other) - find_share(context, one)
            assert gap * 100 <= most, (one.name, other.name, gap)


def find_share(context, kind):
    result = context.played[kind.name]
    return (result.in_time + result.late) / result.asked


@then("another play of it ends in the same way")
def step_same(context):
    assert play(context.pattern, seed=SEED) == context.played
