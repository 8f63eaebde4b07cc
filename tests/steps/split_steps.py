"""Steps about routes that are split between services."""

import collections
import random

from behave import given, then, when

from guavawing.traffic.routes import RouteTable
from tests.traffic_documents import make_route, make_routing


@given("a configuration that splits a route {one:d} to one and {two:d} to two")
def step_split(context, one, two):
    split = [
        {"service": "one", "weight": one},
        {"service": "two", "weight": two},
    ]
    route = make_route("a.ex", "/", trafficSplit=split)
    context.routes = RouteTable(
        make_routing({"r": route}), rng=random.Random(1)
    )


@then("of {count:d} requests {one:d} go to one and {two:d} to two")
def step_split_counts(context, count, one, two):
    route = context.routes.find("a.ex", "/")
    picked = [context.routes.pick_service(route) for _ in range(count)]
    assert (picked.count("one"), picked.count("two")) == (one, two)


def make_split_table(weights, rng, earlier=None):
    split = [
        {"service": f"s{number}", "weight": weight}
        for number, weight in enumerate(weights)
    ]
    route = make_route("a.ex", "/", trafficSplit=split)
    return RouteTable(make_routing({"r": route}), earlier=earlier, rng=rng)


@given("{count:d} nodes that deal requests by the weights {weights}")
def step_dealing_nodes(context, count, weights):
    rng = random.Random(7)
    context.weights = [float(weight) for weight in weights.split()]
    context.dealing = [
        make_split_table(context.weights, rng) for _ in range(count)
    ]
    context.dealt = collections.Counter()


@when("each gets {least:d} to {most:d} requests")
def step_deal(context, least, most):
    rng = random.Random(11)
    for table in context.dealing:
        route = table.find("a.ex", "/")
        for _ in range(rng.randint(least, most)):
            context.dealt[table.pick_service(route)] += 1


@when("they take {count:d} versions, with a request each after every version")
def step_deal_versions(context, count):
    rng = random.Random(13)
    for _ in range(count):
        context.dealing = [
            make_split_table(context.weights, rng, table)
            for table in context.dealing
        ]
        step_deal(context, 1, 1)


@when(
    "the weights become {weights} and each gets {least:d} to {most:d} requests"
)
def step_new_weights(context, weights, least, most):
    context.weights = [float(weight) for weight in weights.split()]
    context.dealt.clear()
    context.dealing = [
        make_split_table(context.weights, random.Random(17), table)
        for table in context.dealing
    ]
    step_deal(context, least, most)


@then("no part's share is more than {most:g} off its weight")
def step_shares(context, most):
    total, requests = sum(context.weights), context.dealt.total()
    off = [
        abs(context.dealt[f"s{number}"] / requests - weight / total)
        for number, weight in enumerate(context.weights)
    ]
    assert max(off) <= most, off
