"""Steps that drive an owner with a target in memory."""

import asyncio

import attrs
from behave import given, then, when

from guavawing.config import PolicyTable
from guavawing.node import owner as owner_module
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.owner import open_owner
from guavawing.node.target_client import Execution
from guavawing.verdict import MayHaveRun, Ran, Reason
from standins.documents import make_newsroom_document

TURNS = 5


class MemoryTarget:
    """Ends a call when it is told to."""

    def __init__(self):
        self.given = []

    async def execute(self, attempt, *, now):
        end = asyncio.get_running_loop().create_future()
        self.given.append(end)
        return await end

    def end(self, execution):
        for end in self.given:
            if not end.done():
                end.set_result(execution)


async def let_run():
    for _ in range(TURNS):
        await asyncio.sleep(0)


@given("an owner with {slots:d} slot whose target works until told to end")
def step_owner(context, slots):
    context.target = MemoryTarget()

    async def open_one():
        manager = open_owner(
            member_id="desk-1",
            incarnation=1,
            target=context.target,
            metrics=Metrics(),
        )
        owner = await manager.__aenter__()
        owner.set_limits(slots=slots, queue_limit=10)
        return manager, owner

    manager, context.owner = context.run(open_one())
    context.add_cleanup(
        lambda: context.run(manager.__aexit__(None, None, None))
    )
    context.key = None
    context.submissions = []


async def submit(context, *, keyed, left_s=30.0):
    loop = asyncio.get_running_loop()
    table = PolicyTable(
        make_newsroom_document(), data_centre="bergen", today=None
    )
    attempt = CallAttempt(
        call_id="1",
        policy=table.get("desk-publish"),
        method="POST",
        path="/bulletins",
        headers=(),
        body=b"",
        deadline=loop.time() + left_s,
        depth=1,
    )
    if keyed:
        context.key = context.key or context.owner.mint_key()
        attempt = attrs.evolve(attempt, key=context.key)
    context.submissions.append(context.owner.submit(attempt))
    await let_run()


@when("a call without a key runs")
@when("a call without a key waits")
def step_call(context):
    context.run(submit(context, keyed=False))


@when("a call with a key and {left:g} s left runs")
def step_keyed_call(context, left):
    context.run(submit(context, keyed=True, left_s=left))


@when("a second caller sends the same key")
def step_second(context):
    context.run(submit(context, keyed=True))


@when("two callers send the same key and the first one leaves twice")
def step_join(context):
    async def join():
        await submit(context, keyed=True)
        await submit(context, keyed=True)
        first = context.submissions[-2]
        first.cancel()
        first.cancel()
        await let_run()

    context.run(join())


async def end_all(context, execution):
    for _ in range(len(context.submissions)):
        context.target.end(execution)
        await let_run()


@when("the target ends every call")
def step_end(context):
    done = Execution(Answer(Ran(), 200), ended=True)
    context.run(end_all(context, done))


@when("the connection of the running call breaks")
def step_break(context):
    async def break_one():
        broken = Answer(MayHaveRun(Reason.TARGET_BROKE))
        context.target.end(Execution(broken, ended=False))
        await let_run()

    context.run(break_one())


async def wait_answer(submission):
    async with asyncio.timeout(5.0):
        return await asyncio.shield(submission.fut)


@then("the other caller's call was run")
def step_other_ran(context):
    answer = context.run(wait_answer(context.submissions[-1]))
    assert isinstance(answer.verdict, Ran), answer


@then("the first caller is told that its call may have run")
def step_may_have_run(context):
    answer = context.run(wait_answer(context.submissions[0]))
    assert isinstance(answer.verdict, MayHaveRun), answer


@then("the target was given {count:d} calls")
def step_given(context, count):
    assert len(context.target.given) == count, len(context.target.given)


@then("after the grace the target was given {count:d} calls")
def step_given_later(context, count):
    grace_s = owner_module.BROKEN_CONNECTION_GRACE_S
    context.run(asyncio.sleep(grace_s + 0.1))
    step_given(context, count)
