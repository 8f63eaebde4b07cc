"""Steps about the owner of a target, without a network."""

import asyncio

from behave import given, then, when

from guavawing.model import parse_address
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.link_pacer import LinkPacer
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.traffic.durations import MIN_KNOWN
from guavawing.traffic.model import Outcome, TargetReport
from guavawing.traffic.target_state import TargetState
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason
from tests.sidecar_support import make_attempt

ADDRESS = parse_address("10.0.0.7:80")
# Tolerance for late timers of a busy machine, in seconds.
SLACK_S = 0.5


class MemoryExecution:
    """An attempt at a target that ends when a step calls `end`."""

    def __init__(self, on_end):
        self._on_end = on_end

    def abandon(self):
        self.end(Outcome(MayHaveRun(Reason.CANCELLED)))

    def end(self, outcome):
        self._on_end(self, outcome)


class MemoryPool:
    """Records the attempts sent to the target and their times."""

    def __init__(self):
        self.sent = {}
        self.executions = {}

    def execute(self, attempt, *, target_id, on_end, on_notice):
        name = attempt.request_id.decode()
        self.sent[name] = asyncio.get_running_loop().time()
        self.executions[name] = MemoryExecution(on_end)
        return self.executions[name]


async def make_owner(context, slots):
    state = TargetState("desk", ADDRESS)
    report = TargetReport("t1", "desk", ADDRESS, slots, False, 1, 0.0, 1_000)
    state.apply_report(report, now=0.0)
    context.pool = MemoryPool()
    context.owner = Owner(
        service="desk",
        state=state,
        pool=context.pool,
        drain_s=2.0,
        pacer=LinkPacer(1e9),
        log=DecisionLog(node="a1"),
        metrics=SidecarMetrics(),
    )
    context.owner.handle_target_change()


@given("an owner with {slots:d} slot")
def step_owner(context, slots):
    context.run(make_owner(context, slots))


async def submit(context, names):
    now = asyncio.get_running_loop().time()
    context.items = {
        name: context.owner.submit(
            make_attempt(name, now=now), lambda _: None, local=True
        )
        for name in names
    }
    assert list(context.pool.sent) == names[:1], context.pool.sent


@when('attempt "{first}" runs and attempt "{second}" waits')
def step_submit(context, first, second):
    context.run(submit(context, [first, second]))


async def disconnect(context, name):
    context.freed_at = asyncio.get_running_loop().time()
    context.owner.cancel(context.items[name])


@when('the client of "{name}" disconnects')
def step_disconnect(context, name):
    context.run(disconnect(context, name))


async def answer(context, name, verdict=None):
    context.freed_at = asyncio.get_running_loop().time()
    context.pool.executions[name].end(Outcome(verdict or Ran(), 200))


@when('the target refuses "{name}"')
def step_target_refuses(context, name):
    context.run(answer(context, name, NotRun(Reason.TARGET_SHED, 0.0)))


@when('the target answers "{name}"')
def step_answer(context, name):
    context.run(answer(context, name))


async def wait_until_sent(context, name):
    async with asyncio.timeout(SLACK_S):
        while name not in context.pool.sent:
            await asyncio.sleep(0.001)
    return context.pool.sent[name] - context.freed_at


@then('"{name}" is sent after at least {seconds:g} s, and then at once')
def step_sent_later(context, name, seconds):
    delay_s = context.run(wait_until_sent(context, name))
    assert seconds <= delay_s < seconds + SLACK_S, delay_s


@then('"{name}" is sent at once')
def step_sent(context, name):
    assert name in context.pool.sent


@given("an owner with {slots:d} slot whose executions take {service_s:g} s")
def step_owner_service(context, slots, service_s):
    context.run(make_owner(context, slots))
    context.owner._queue.service_s = service_s
    kind = make_attempt("earlier", now=0.0).kind
    for _ in range(MIN_KNOWN):
        context.owner._durations.observe(kind, service_s)


@when("its process ends in {seconds:g} s")
def step_ends(context, seconds):
    context.owner.process_end.at = context.loop.time() + seconds


@when("its process ends in {seconds:g} s and clients have learned of it")
def step_informed(context, seconds):
    step_ends(context, seconds)
    context.owner.process_end.clients_informed = True


@then('the target has {received:w} "{name}" from its queue')
def step_received(context, received, name):
    assert (name in context.pool.sent) is (received == "received")
    assert context.owner.pending == (received == "received")


@then("it {takes:w} an attempt of another node")
def step_takes(context, takes):
    outcomes = []

    async def offer():
        now = asyncio.get_running_loop().time()
        attempt = make_attempt("late", now=now)
        context.owner.submit(attempt, outcomes.append, local=False)

    context.run(offer())
    if takes == "takes":
        assert not outcomes, outcomes
    else:
        [outcome] = outcomes
        assert outcome.verdict == NotRun(Reason.DRAINING, 0.0), outcome
