"""Steps about retries and their budget."""

from random import Random

from behave import given, then, when

from guavawing.traffic.budget import RetryBudget
from guavawing.traffic.failures import FailureShare
from guavawing.traffic.unserved import next_step
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

VERDICTS = {"not-run": NotRun, "may-have-run": MayHaveRun, "ran": Ran}
SERVICE = "desk"
CALLER = "feed"
WINDOW_S = 10.0
WINDOW_STEPS = 100


@given("a service whose last {count:d} answers were failures")
def step_failures(context, count):
    context.failures = FailureShare()
    for _ in range(count):
        context.failures.observe(SERVICE, failed=True)


@given("a request that is {kind} and was sent to {sent:d} of {most:d} targets")
def step_request(context, kind, sent, most):
    context.request = {
        "idempotent": kind == "idempotent",
        "sent": sent,
        "max_sent": most,
    }


@when("its attempt ends with {verdict} {reason}")
def step_end(context, verdict, reason):
    failures = getattr(context, "failures", FailureShare())
    context.step = next_step(
        VERDICTS[verdict](Reason(reason)),
        common=failures.are_common(SERVICE),
        asked=1,
        max_asked=4,
        left_s=1.0,
        **context.request,
    )


@then("the next step is {step}")
def step_next(context, step):
    assert context.step.name.lower().replace("_", " ") == step, context.step


@then(
    "{nodes:d} nodes with {requests:d} requests each spend at most {most:d}"
    " retries with ratio {ratio:g} and allowance {allowance:d}"
)
def step_budget(context, nodes, requests, most, ratio, allowance):
    budgets = [
        RetryBudget(ratio=ratio, allowance=allowance, nodes=nodes)
        for _ in range(nodes)
    ]
    spent = 0
    for number in range(requests):
        now = number * WINDOW_S / requests
        for budget in budgets:
            budget.earn(SERVICE, now=now)
            spent += budget.spend(SERVICE, urgent=True, now=now)
    assert most == round(ratio * requests * nodes + allowance)
    assert 0 < spent <= most, spent


@then(
    "in {count:d} random loads on {nodes:d} nodes no window has more retries "
    "and calls of repeated executions than ratio {ratio:g} and allowance "
    "{allowance:d} allow"
)
def step_random_budgets(context, count, nodes, ratio, allowance):
    for seed in range(count):
        spent, offered = simulate_loads(Random(seed), nodes, ratio, allowance)
        for start in range(len(offered) - WINDOW_STEPS):
            window = slice(start, start + WINDOW_STEPS)
            earlier = max(0, start - WINDOW_STEPS)
            half = max(0, start - WINDOW_STEPS // 2)
            requests = max(
                sum(offered[begin : begin + WINDOW_STEPS])
                for begin in (start, half, earlier)
            )
            found, most = sum(spent[window]), ratio * requests + allowance
            assert found <= most, (seed, start, found, most)


def simulate_loads(rng, nodes, ratio, allowance):
    """Returns the retries at one service and the requests for it, per step.

    A second service calls it once in each execution. Requests for both fail
    with a random probability, which changes four times per window together
    with the request rate of each node. So failures occur at all or a few nodes.
    """
    budgets = [
        RetryBudget(ratio=ratio, allowance=allowance, nodes=nodes)
        for _ in range(nodes)
    ]
    rates = [rng.choice((0.0, 0.2, 1.0, 4.0)) for _ in range(nodes)]
    spent, offered = [], []
    failing = 0.0
    for step in range(4 * WINDOW_STEPS):
        now = step * WINDOW_S / WINDOW_STEPS
        if step % (WINDOW_STEPS // 4) == 0:
            failing = rng.choice((0.0, 0.1, 0.5, 1.0))
            rates = [rate * rng.choice((0.3, 1.0, 2.0)) for rate in rates]
        repeats = requests = 0
        for budget, rate in zip(budgets, rates, strict=True):
            for _ in range(int(rate + rng.random())):
                called = rng.random() < 0.5
                if called:
                    budget.earn(CALLER, now=now)
                    if rng.random() < failing:
                        # The retried execution repeats its call.
                        repeats += budget.spend(CALLER, urgent=True, now=now)
                requests += 1
                budget.earn(SERVICE, now=now)
                if rng.random() < failing:
                    urgent = rng.random() < 0.5
                    repeats += budget.spend(SERVICE, urgent=urgent, now=now)
        spent.append(repeats)
        offered.append(requests)
    return spent, offered


@given("one of {nodes:d} nodes, which gets {requests:d} requests a second")
def step_budget_node(context, nodes, requests):
    context.budget = RetryBudget(ratio=0.2, allowance=430, nodes=nodes)
    for number in range(requests * 10):
        context.budget.earn(SERVICE, now=number / requests)
    context.now = 10.0


@then("it can make {least:d} to {most:d} retries at once")
def step_at_once(context, least, most):
    spent = 0
    while context.budget.spend(SERVICE, urgent=True, now=context.now):
        spent += 1
    assert least <= spent <= most, spent


@when("urgent requests have used up the retries")
def step_use_up(context):
    while context.budget.spend(SERVICE, urgent=True, now=context.now):
        pass


@then("for {seconds:d} s urgent requests get all earned retries")
def step_urgent_first(context, seconds):
    urgent = other = 0
    for number in range(seconds * 20):
        context.now += 0.05
        context.budget.earn(SERVICE, now=context.now)
        other += context.budget.spend(SERVICE, urgent=False, now=context.now)
        if number % 2:
            urgent += context.budget.spend(
                SERVICE, urgent=True, now=context.now
            )
    assert urgent > 0 and not other, (urgent, other)


@then("{seconds:d} s after the last of them less urgent ones get a retry")
def step_others_again(context, seconds):
    for _ in range(seconds * 20):
        context.now += 0.05
        context.budget.earn(SERVICE, now=context.now)
    assert context.budget.spend(SERVICE, urgent=False, now=context.now)
