"""Steps that drive an owner with a target in memory."""

import asyncio

from behave import given, then, when

from guavawing.node import owner as owner_module
from guavawing.node.messages import Answer
from guavawing.node.metrics import Metrics
from guavawing.node.owner import open_owner
from guavawing.node.target_client import Execution
from guavawing.verdict import MayHaveRun, Ran, Reason, verdict_name
from standins.silent_peers import SilentTarget
from tests.support import make_publish, open_in_scenario

LOOP_TURNS = 5


async def run_loop_turns():
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


def start_owner(context):
    manager = open_owner(
        member_id="desk-1",
        incarnation=1,
        target=context.target,
        metrics=Metrics(),
    )
    context.owner = open_in_scenario(context, manager)
    context.loop.call_soon_threadsafe(
        lambda: context.owner.set_limits(slots=1, queue_limit=10)
    )


@given("an owner with one slot and a target whose calls run until ended")
def step_owner(context):
    context.target = SilentTarget()
    context.key = None
    context.submissions = []
    start_owner(context)


async def submit(context, *, keyed, left_s=30.0):
    key = None
    if keyed:
        key = context.key = context.key or context.owner.mint_key()
    attempt = make_publish(key, left_s=left_s)
    context.submissions.append(context.owner.submit(attempt))
    await run_loop_turns()


@when("a call without a key runs")
@when("a call without a key waits")
def step_call(context):
    context.run(submit(context, keyed=False))


@when("a second caller sends the same key")
@when("a call with a key and {left:g} s left runs")
def step_keyed_call(context, left=30.0):
    context.run(submit(context, keyed=True, left_s=left))


@when("two callers send the same key and the first one cancels twice")
def step_join(context):
    async def join():
        await submit(context, keyed=True)
        await submit(context, keyed=True)
        first = context.submissions[-2]
        first.cancel()
        first.cancel()
        await run_loop_turns()

    context.run(join())


async def end_executions(context, execution, times):
    for _ in range(times):
        context.target.end(execution)
        await run_loop_turns()


@when("the incarnation of the owner is raised to {incarnation:d}")
def step_incarnation(context, incarnation):
    context.owner.raise_incarnation(incarnation)


@when("the key is sent to another process of the same id and incarnation")
def step_second_process(context):
    start_owner(context)
    context.run(submit(context, keyed=True))


@then("new keys carry incarnation {incarnation:d}")
def step_new_keys(context, incarnation):
    assert context.owner.mint_key().incarnation == incarnation


@when("the target ends every call")
def step_end(context):
    done = Execution(Answer(Ran(), 200), ended=True)
    context.run(end_executions(context, done, times=len(context.submissions)))


@when("the connection of the running call breaks")
def step_break(context):
    broken = Answer(MayHaveRun(Reason.TARGET_BROKE))
    context.run(
        end_executions(context, Execution(broken, ended=False), times=1)
    )


async def wait_answer(submission):
    async with asyncio.timeout(5.0):
        return await asyncio.shield(submission.fut)


@then('the {caller} caller gets the verdict "{name}"')
def step_verdict(context, caller, name):
    submission = context.submissions[{"first": 0, "last": -1}[caller]]
    answer = context.run(wait_answer(submission))
    assert verdict_name(answer.verdict) == name, answer


@when("the grace period of a broken connection has passed")
def step_grace(context):
    context.run(asyncio.sleep(owner_module.BROKEN_CONNECTION_GRACE_S + 0.1))


@then("the target has received {count:d} calls")
def step_received(context, count):
    assert len(context.target.given) == count, len(context.target.given)
