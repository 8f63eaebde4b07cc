"""Steps about the choice of an owner."""

import collections
import random

import attrs
from behave import given, then, when

from guavawing.traffic.balancer import ASSUMED_ROUND_TRIP_S, Balancer
from guavawing.traffic.model import (
    Incarnation,
    LoadReport,
    TargetLimit,
    TargetPhase,
)
from guavawing.traffic.owner_view import OwnerView

NOW = 100.0
ROUTE = "route"
KIND, OTHER_KIND = 4, 9
# Maximum number of requests sent to other owners than the best one.
MAX_EXPLORED = 8


def make_balancer(seed=4):
    balancer = Balancer(random.Random(seed))
    balancer.observe_size(ROUTE, 4096)
    return balancer


def choose(context, balancer, useful_s, *, bulk=False, views=None, now=NOW):
    return balancer.choose(
        views or list(context.views.values()),
        route=ROUTE,
        kind=KIND,
        bulk=bulk,
        useful_s=useful_s,
        excluded=context.tried,
        now=now,
    )


def report(context, name, running, service_s, refused=0, kind_s=None):
    view = context.views[name]
    load = LoadReport(
        TargetPhase.READY,
        context.slots,
        running,
        0,
        service_s,
        refused,
        kind_s=kind_s or {},
    )
    view.apply_report(load, now=NOW)


@given('near owners "{near}" and far owners "{far}" of {slots:d} slots')
@given('near owners "{near}" and far owners "" of {slots:d} slots')
def step_owners(context, near, slots, far=""):
    context.slots = slots
    context.tried = set()
    context.balancer = make_balancer()
    context.views = {
        name: OwnerView(name, local=False, near=name in near.split())
        for name in near.split() + far.split()
    }


@when(
    'owner "{name}" reports {running:d} running, {own_s:g} s for this kind,'
    " {percent:d} % of all, and {other_s:g} s for another"
)
def step_report_kinds(context, name, running, own_s, percent, other_s):
    share = percent / 100
    mean_s = share * own_s + (1 - share) * other_s
    kind_s = {KIND: own_s, OTHER_KIND: other_s}
    report(context, name, running, mean_s, kind_s=kind_s)


@when(
    'owner "{name}" reports {running:d} running and {other_s:g} s for another'
    " kind"
)
def step_report_other(context, name, running, other_s):
    report(context, name, running, other_s, kind_s={OTHER_KIND: other_s})


@given("answers of {size_kb:d} KB")
def step_size(context, size_kb):
    for _ in range(200):
        context.balancer.observe_size(ROUTE, size_kb * 1024)


@when(
    'owner "{name}" reports {running:d} running and executions of'
    " {service_s:g} s"
)
def step_report(context, name, running, service_s):
    report(context, name, running, service_s)


@when(
    'owner "{name}" reports {running:d} running and executions of'
    " {service_s:g} s and refuses {percent:d} %"
)
def step_report_refused(context, name, running, service_s, percent):
    report(context, name, running, service_s, percent / 100)


@when(
    'each owner "{names}" reports {running:d} running and executions from'
    " {service_s:g} s upwards"
)
def step_report_all(context, names, running, service_s):
    for number, name in enumerate(names.split()):
        report(context, name, running, service_s * (1 + 0.05 * number))


@when('owner "{name}" reports a link backlog of {seconds:g} s')
def step_link_wait(context, name, seconds):
    view = context.views[name]
    load = attrs.evolve(view.report, link_wait_s=seconds)
    view.apply_report(load, now=NOW)


@when('owner "{name}" has been tried')
def step_tried(context, name):
    context.tried.add(name)


@when('owner "{name}" is marked lost')
def step_lost(context, name):
    context.views[name].alive = False


@when('{count:d} requests fail at "{name}"')
def step_fail(context, count, name):
    for _ in range(count):
        context.views[name].record_failure(now=NOW)


@when('{count:d} bulk answers of "{name}" take {seconds:g} s in transit')
def step_transit(context, count, name, seconds):
    for _ in range(count):
        context.views[name].observe_transit(seconds, bulk=True, now=NOW)


def count_chosen(context, count, useful_s, *, bulk=False):
    choices = [
        choose(context, context.balancer, useful_s, bulk=bulk)
        for _ in range(count)
    ]
    context.choices = choices
    return collections.Counter(each.owner.node for each in choices)


@then(
    "of {count:d} requests that are useful for {useful_s:g} s only"
    ' "{names}" get any'
)
def step_only(context, count, useful_s, names):
    chosen = count_chosen(context, count, useful_s)
    assert set(chosen) == set(names.split()), chosen


@then("all of them may use spare slots only")
def step_spare(context):
    assert all(each.spare_only for each in context.choices)


@then(
    "of {count:d} requests that are useful for {useful_s:g} s most go to"
    ' "{name}"'
)
def step_most(context, count, useful_s, name):
    chosen = count_chosen(context, count, useful_s)
    assert chosen[name] >= count - MAX_EXPLORED, chosen


@then(
    "of {count:d} bulk requests that are useful for {useful_s:g} s most go to"
    ' "{name}"'
)
def step_most_bulk(context, count, useful_s, name):
    chosen = count_chosen(context, count, useful_s, bulk=True)
    assert chosen[name] >= count - MAX_EXPLORED, chosen


@then("no owner gets a request")
def step_none(context):
    assert choose(context, context.balancer, 0.3) is None


@then(
    "of {count:d} requests of {nodes:d} nodes that are useful for"
    " {useful_s:g} s no owner gets over {most:d}"
)
def step_no_overload(context, count, nodes, useful_s, most):
    balancers = [make_balancer(seed) for seed in range(nodes)]
    chosen = collections.Counter(
        choose(context, balancers[number % nodes], useful_s).owner.node
        for number in range(count)
    )
    assert max(chosen.values()) <= most, chosen


@then(
    "in {count:d} random fleets of 1 to {most:d} owners the chosen one has the "
    "best rank of all"
)
def step_best_rank(context, count, most):
    for seed in range(count):
        check_rank(random.Random(seed), most)


def make_random_view(rng, number):
    view = OwnerView(f"n{number}", local=False, near=rng.random() < 0.3)
    view.apply_report(
        LoadReport(
            TargetPhase.READY,
            4,
            rng.randrange(6),
            rng.randrange(3),
            rng.uniform(0.01, 0.5),
            refused_share=rng.choice((0.0, 0.0, 0.3, 0.6)),
            kind_s={1: rng.uniform(0.01, 0.5)} if rng.random() < 0.8 else {},
        ),
        now=0.0,
    )
    if rng.random() < 0.1:
        view.ejected_until = 1.0
    return view


def check_rank(rng, most):
    views = [make_random_view(rng, n) for n in range(rng.randint(1, most))]
    useful_s = rng.choice((-0.1, 0.05, 0.2, 1.0))
    balancer = Balancer(random.Random(1))
    # Each choice excludes the owners that were chosen before it.
    excluded = set()
    for _ in range(4):
        choice = balancer.choose(
            views,
            route="r",
            kind=1,
            bulk=False,
            useful_s=useful_s,
            excluded=excluded,
            now=0.1,
        )
        if choice is None:
            return
        excluded.add(choice.owner.node)
        best = min(rank_all(balancer, views, useful_s, excluded, choice))
        assert rank_one(balancer, views, useful_s, choice.owner) == best


def rank_one(balancer, views, useful_s, owner):
    usable = [view for view in views if view.is_usable(now=0.1)]
    pressures = [view.pressure() for view in usable if view.near]
    reported = [
        view.report.kind_s[1] for view in views if 1 in view.report.kind_s
    ]
    rank, _ = balancer._assess(
        owner,
        useful_s,
        0.1,
        service_s=owner.execution_s(
            1, sum(reported) / len(reported) if reported else None
        ),
        pressure=sum(pressures) / len(pressures) if pressures else None,
        large=False,
        bulk=False,
        round_trip_s=ASSUMED_ROUND_TRIP_S,
    )
    return rank


def rank_all(balancer, views, useful_s, excluded, choice):
    usable = [view for view in views if view.is_usable(now=0.1)] or views
    return [
        rank_one(balancer, views, useful_s, view)
        for view in usable
        if view is choice.owner or view.node not in excluded
    ]


@when(
    'owner "{name}" reports a limit of {per_s:g} per second with room in'
    " {wait_s:g} s"
)
def step_report_limit(context, name, per_s, wait_s):
    load = LoadReport(
        TargetPhase.READY,
        context.slots,
        0,
        0,
        0.1,
        limit=TargetLimit(Incarnation("t1", 1_000), per_s),
        limit_wait_s=wait_s,
    )
    context.views[name].apply_report(load, now=NOW)


def choose_names(context, useful_s, *, now=NOW, count=50):
    return {
        choose(context, context.balancer, useful_s, now=now).owner.node
        for _ in range(count)
    }


@then('requests useful for {useful_s:g} s all go to "{name}"')
def step_all_go(context, useful_s, name):
    assert choose_names(context, useful_s) == {name}


@then(
    '{later_s:g} s later requests useful for {useful_s:g} s go to "{name}" too'
)
@then('requests useful for {useful_s:g} s go to "{name}" too')
def step_go_later(context, useful_s, name, later_s=0.0):
    assert name in choose_names(context, useful_s, now=NOW + later_s)


@then(
    "a request useful for {useful_s:g} s goes to nobody, and there is room in"
    " {wait_s:g} s"
)
def step_nobody(context, useful_s, wait_s):
    assert choose(context, context.balancer, useful_s) is None
    found_s = context.balancer.find_limit_wait_s(
        context.views.values(), now=NOW
    )
    assert found_s == wait_s, found_s


@then(
    '{count:d} requests useful for {useful_s:g} s go to "{name}" and the next'
    " one to nobody"
)
def step_count(context, count, useful_s, name):
    for _ in range(count):
        owner = choose(context, context.balancer, useful_s).owner
        assert owner.node == name
        owner.record_sent(now=NOW)
    assert choose(context, context.balancer, useful_s) is None


@when('answers of owner "{name}" take {seconds:g} s on their way')
def step_round_trip(context, name, seconds):
    for _ in range(10):
        context.views[name].observe_transit(seconds, bulk=False, now=NOW)
