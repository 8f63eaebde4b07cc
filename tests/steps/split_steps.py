"""Steps about routes whose requests are split between services."""

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


@given("{count:d} nodes that split requests by the weights {weights}")
def step_nodes(context, count, weights):
    rng = random.Random(7)
    context.weights = [float(weight) for weight in weights.split()]
    context.tables = [
        make_split_table(context.weights, rng) for _ in range(count)
    ]
    context.counts = collections.Counter()


@when("each gets {least:d} to {most:d} requests")
def step_requests(context, least, most):
    rng = random.Random(11)
    for table in context.tables:
        route = table.find("a.ex", "/")
        for _ in range(rng.randint(least, most)):
            context.counts[table.pick_service(route)] += 1


@when("they apply {count:d} versions, with a request each after every version")
def step_versions(context, count):
    rng = random.Random(13)
    for _ in range(count):
        context.tables = [
            make_split_table(context.weights, rng, table)
            for table in context.tables
        ]
        step_requests(context, 1, 1)


@when(
    "the weights become {weights} and each gets {least:d} to {most:d} requests"
)
def step_new_weights(context, weights, least, most):
    context.weights = [float(weight) for weight in weights.split()]
    context.counts.clear()
    context.tables = [
        make_split_table(context.weights, random.Random(17), table)
        for table in context.tables
    ]
    step_requests(context, least, most)


@then("the share of each part is within {most:g} of its weight")
def step_shares(context, most):
    total, requests = sum(context.weights), context.counts.total()
    errors = [
        abs(context.counts[f"s{number}"] / requests - weight / total)
        for number, weight in enumerate(context.weights)
    ]
    assert max(errors) <= most, errors
