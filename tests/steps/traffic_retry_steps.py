"""Steps about retries and their budget."""

from behave import given, then, when

from guavawing.traffic.budget import RetryAllowance
from guavawing.traffic.failures import FailureShare
from guavawing.traffic.unserved import next_step
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

VERDICTS = {"not-run": NotRun, "may-have-run": MayHaveRun, "ran": Ran}
SERVICE = "desk"


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
    " retries of ratio {ratio:g} and allowance {allowance:d}"
)
def step_budget(context, nodes, requests, most, ratio, allowance):
    budgets = [
        RetryAllowance(ratio=ratio, allowance=allowance, nodes=nodes)
        for _ in range(nodes)
    ]
    spent = 0
    for _ in range(requests):
        for budget in budgets:
            budget.earn()
            spent += budget.spend()
    assert most == round(ratio * requests * nodes + allowance)
    assert 0 < spent <= most, spent
