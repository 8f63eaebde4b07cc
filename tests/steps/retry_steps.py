"""Steps about retry budgets."""

import asyncio

from behave import given, then, when
from hypothesis import strategies as st

from bench.retry_chain import ChainPlan, run_chain
from guavawing.policy.retry import GiveUp, Retry, RetryBudget, decide_retry
from guavawing.verdict import NotRun, Reason
from standins.chain import count_attempts, name_layers, open_chain
from standins.documents import make_chain_document
from standins.records import read_records
from tests.support import (
    check_examples,
    open_in_scenario,
    publish,
    set_target_faults,
)


@given("a chain of {depth:d} services whose leaf fails {percent:d} % of calls")
def step_chain(context, depth, percent):
    context.plan = {"depth": depth, "failing": percent / 100}


@given("a chain of {depth:d} services that hide the budget-spent flag")
def step_hiding_chain(context, depth):
    context.plan = {"depth": depth, "hides_flag": True}


@when("{calls:d} calls are offered")
def step_offer(context, calls):
    context.attempts = run_chain(ChainPlan(calls=calls, **context.plan))


@given(
    "a chain of {depth:d} services as processes that {failures} when their"
    " calls fail"
)
def step_chain_of_processes(context, depth, failures):
    context.depth = depth
    chain = open_chain(depth, failures.split(", "))
    context.fleet = open_in_scenario(context, chain)
    document = make_chain_document(name_layers(depth))
    context.run(publish(context.fleet, document, base=0))
    assert not context.run(context.fleet.wait_for_version(1))
    count = len(context.fleet.nodes)
    assert context.run(context.fleet.wait_for_serving(count))


@when("{calls:d} calls are offered to these processes")
def step_offer_to_processes(context, calls):
    context.attempts = context.run(
        count_attempts(context.fleet, context.depth, calls)
    )


@then("the leaf got at most {bound:g} attempts for each call")
def step_at_most(context, bound):
    assert context.attempts <= bound, context.attempts


@then("the leaf got more than {bound:g} attempts for each call")
def step_more_than(context, bound):
    assert context.attempts > bound, context.attempts


@then("{count:d} random sequences of calls spend at most the retry ratio")
def step_ratio(context, count):
    ratios = st.sampled_from((0.0, 0.05, 0.1, 0.5))

    @check_examples(count, ratios, st.lists(st.integers(0, 3), max_size=200))
    def check(ratio, retries):
        budget = RetryBudget()
        spent = 0
        for calls, wanted in enumerate(retries, 1):
            budget.earn(ratio)
            spent += sum(budget.spend() for _ in range(wanted))
            assert spent <= calls * ratio + 1e-9, (spent, calls, ratio)


@when('every owner refuses a call as "{reason}"')
def step_refuse(context, reason):
    context.redirects = 0
    budget = RetryBudget()
    while True:
        decision = decide_retry(
            NotRun(Reason(reason), 0.0),
            idempotent=True,
            attempts=1,
            max_attempts=3,
            budget=budget,
            redirects=context.redirects,
        )
        if not isinstance(decision, Retry):
            break
        assert decision.redirect
        context.redirects += 1
    context.decision = decision


@then("after {times:d} redirects the call ends with the budget spent")
def step_redirected(context, times):
    assert context.redirects == times, context.redirects
    assert context.decision == GiveUp(budget_spent=True)


def count_requests(context, service):
    records = context.run(read_records(context.fleet, service))
    return sum(record["requests"] for record in records)


def read(context, service, entry, **options):
    path = "/packages/1"
    return context.fleet.call(entry, service=service, path=path, **options)


@when('a caller reads "{service}" {count:d} times through "{entry}"')
def step_read_often(context, service, count, entry):
    for _ in range(count):
        outcome = context.run(read(context, service, entry))
        assert outcome.verdict == "ran", outcome
    context.requests = count_requests(context, service)


@given('the target of "{name}" drops {count:d} answer')
def step_target_drops(context, name, count):
    set_target_faults(context, name, drop_answers=count)


@when(
    'a target of "{service}" that was called through "{entry}" calls'
    ' "{other}" through "{own}"'
)
def step_nested(context, service, entry, other, own):
    async def run():
        call_id = {"Guavawing-Call-Id": "nested"}
        working = {**call_id, "X-Work-Ms": "500"}
        outer = asyncio.ensure_future(
            read(context, service, entry, headers=working)
        )
        await asyncio.sleep(0.1)
        nested = {**call_id, "Guavawing-Depth": "1"}
        inner = await read(context, other, own, headers=nested)
        assert inner.verdict == "may-have-run", inner
        return await outer

    context.outcome = context.run(run())


@then('the targets of "{service}" got {count:d} requests for it')
def step_requests(context, service, count):
    found = count_requests(context, service) - context.requests
    assert found == count, found
