"""Steps that send non-idempotent calls while processes fail."""

import asyncio
import itertools
import signal
import uuid

from behave import given, then, when

from standins.records import count_executions
from tests.support import (
    PUBLISH,
    send,
    set_platform_faults,
    set_target_faults,
    start_call,
)

ENTRY_KEYS_PATH = "/guavawing/keys"


def describe(outcomes):
    return [(each.status, each.verdict, each.reason) for each in outcomes]


def start_publish(context, key, entry, *, work_ms=0, **options):
    """Starts a publish on the loop of the fleet; returns its future."""
    headers = {"X-Work-Ms": str(work_ms)}
    return start_call(
        context, entry, **PUBLISH, key=key, headers=headers, **options
    )


@given('the targets of "{service}" lose {count:d} answers each')
@given('the targets of "{service}" lose {count:d} answer each')
def step_lose_answers(context, service, count):
    set_target_faults(context, service, drop_answers=count)
    context.add_cleanup(set_target_faults, context, service)


@given("the platform is down")
def step_platform_down(context):
    set_platform_faults(context, down=True)
    context.add_cleanup(set_platform_faults, context)


@given("the platform loses {count:d} reply")
def step_platform_loses(context, count):
    set_platform_faults(context, lose_replies=count)
    context.add_cleanup(set_platform_faults, context)


@given('"{name}" is frozen')
def step_freeze(context, name):
    node = context.fleet.nodes[name].node
    node.send(signal.SIGSTOP)
    context.add_cleanup(node.send, signal.SIGCONT)


@when('"{name}" goes on')
def step_continue(context, name):
    context.fleet.nodes[name].node.send(signal.SIGCONT)


@when("{seconds:g} s go by")
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@when(
    "{copies:d} copies of each of {count:d} publishes are sent at once"
    ' through "{one}" and "{other}"'
)
def step_send_copies(context, copies, count, one, other):
    context.keys = [uuid.uuid4().hex for _ in range(count)]
    entries = itertools.cycle((one, other))
    context.started = [
        start_publish(context, key, next(entries), work_ms=200)
        for key in context.keys
        for _ in range(copies)
    ]


@when(
    "{count:d} publishes of {deadline_ms:d} ms that work {work_ms:d} ms are"
    ' started through "{entry}"'
)
@when('{count:d} publishes of {deadline_ms:d} ms are started through "{entry}"')
def step_start_publishes(context, count, entry, **options):
    context.keys = [uuid.uuid4().hex for _ in range(count)]
    context.options = options
    step_send_again(context, entry)


@when("their callers go away")
def step_go_away(context):
    for fut in context.started:
        fut.cancel()


@when('the publishes are sent again through "{entry}"')
def step_send_again(context, entry):
    context.started = [
        start_publish(context, key, entry, **context.options)
        for key in context.keys
    ]


@then('each publish has the verdict "{verdict}"')
def step_every_verdict(context, verdict):
    outcomes = [fut.result() for fut in context.started]
    assert all(each.verdict == verdict for each in outcomes), describe(outcomes)


@then('every verdict is "{verdict}" with reason "{reason}"')
def step_every_verdict_and_reason(context, verdict, reason):
    outcomes = [fut.result() for fut in context.started]
    found = {(each.verdict, each.reason) for each in outcomes}
    assert found == {(verdict, reason)}, describe(outcomes)


@then('every copy of a publish has the same answer and verdict "{verdict}"')
def step_same_answers(context, verdict):
    step_every_verdict(context, verdict)
    outcomes = [fut.result() for fut in context.started]
    copies = len(outcomes) // len(context.keys)
    for start in range(0, len(outcomes), copies):
        group = outcomes[start : start + copies]
        assert len({each.body for each in group}) == 1, describe(group)


@then("every publish was executed {times:d} time")
@then("every publish was executed {times:d} times")
def step_every_executed(context, times):
    executions = context.run(count_executions(context.fleet))
    counts = [executions[key] for key in context.keys]
    assert set(counts) == {times}, counts


@when('a caller asks "{entry}" for {count:d} keys of "{service}"')
def step_ask_keys(context, entry, count, service):
    address = context.fleet.nodes[entry].caller
    url = f"http://{address}{ENTRY_KEYS_PATH}?service={service}&count={count}"

    async def ask():
        async with context.fleet.session.post(url) as resp:
            return await resp.json()

    context.keys = context.run(ask())["keys"]


@then("it gets {count:d} keys")
def step_got_keys(context, count):
    assert len(set(context.keys)) == count, context.keys


@when('a caller publishes to "desk" through "{entry}" with its next key')
def step_publish_next_key(context, entry):
    context.key = context.keys.pop()
    step_publish_same_key(context, entry)


@when('a caller publishes to "desk" through "{entry}" with the same key')
def step_publish_same_key(context, entry):
    context.outcome = start_publish(context, context.key, entry).result()


@when(
    'a caller publishes to "desk" through "{entry}" without a key, to work'
    " {work_ms:d} ms in {deadline_ms:d} ms"
)
def step_publish_without_key(context, entry, work_ms, deadline_ms):
    context.key = uuid.uuid4().hex
    # The target counts executions by this header.
    headers = {"X-Key": context.key, "X-Work-Ms": str(work_ms)}
    context.options = {**PUBLISH, "headers": headers}
    send(context, entry, deadline_ms=deadline_ms, **context.options)


@when('the caller asks "{entry}" again under the key that it was given')
def step_ask_again(context, entry):
    key = context.outcome.headers["Guavawing-Key"]
    send(context, entry, key=key, **context.options)


@then("its call was executed {times:d} time")
@then("its key was executed {times:d} time")
@then("its key was executed {times:d} times")
def step_its_key(context, times):
    executions = context.run(count_executions(context.fleet))
    assert executions[context.key] == times, executions
