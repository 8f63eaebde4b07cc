"""Steps that send non-idempotent calls while processes fail."""

import asyncio
import itertools
import signal
import uuid

from behave import given, then, when

from standins.caller import send_call

ENTRY_KEYS_PATH = "/guavawing/keys"


def describe(outcomes):
    return [(each.status, each.verdict, each.reason) for each in outcomes]


def start_publish(context, key, entry, *, deadline_ms=5_000, work_ms=0):
    """Starts a publish on the loop of the fleet; returns its future."""
    call = send_call(
        context.fleet.session,
        context.fleet.nodes[entry].caller,
        service="desk",
        method="POST",
        path="/bulletins",
        key=key,
        body=b"{}",
        deadline_ms=deadline_ms,
        headers={"X-Work-Ms": str(work_ms)},
    )
    return asyncio.run_coroutine_threadsafe(call, context.loop)


def start_publishes(context, count, entry, **options):
    context.keys = [uuid.uuid4().hex for _ in range(count)]
    context.options = options
    context.started = [
        start_publish(context, key, entry, **options) for key in context.keys
    ]


def count_executions(context, key):
    records = [
        context.run(context.fleet.get(node.target, "/record"))
        for node in context.fleet.nodes.values()
    ]
    return sum(record["executions"].get(key, 0) for record in records)


def set_target_faults(context, service, **faults):
    for node in context.fleet.nodes.values():
        if node.service == service:
            context.run(context.fleet.post(node.target, "/faults", faults))


def set_platform_faults(context, **faults):
    address = context.fleet.platform
    context.run(context.fleet.post(address, "/faults", faults))


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


@when("the platform is up again")
def step_platform_up(context):
    set_platform_faults(context)


@given('"{name}" is frozen')
def step_freeze(context, name):
    node = context.fleet.nodes[name].node
    node.send(signal.SIGSTOP)
    context.add_cleanup(node.send, signal.SIGCONT)


@when('"{name}" goes on')
def step_continue(context, name):
    context.fleet.nodes[name].node.send(signal.SIGCONT)


@when('"{name}" is killed')
def step_kill(context, name):
    context.run(context.fleet.nodes[name].node.kill())


@when('"{name}" is started again')
def step_start_again(context, name):
    fleet = context.fleet
    node = fleet.nodes[name]
    context.run(node.node.start(log=fleet.log_of(node, "node")))
    context.run(fleet.wait_for_http(node.admin, "/healthz"))
    assert context.run(fleet.wait_for_serving(len(fleet.nodes)))


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


@when('{count:d} publishes of {deadline_ms:d} ms are started through "{entry}"')
@when(
    "{count:d} publishes of {deadline_ms:d} ms are sent at once through"
    ' "{entry}"'
)
def step_start_publishes(context, count, deadline_ms, entry):
    start_publishes(context, count, entry, deadline_ms=deadline_ms)


@when(
    "{count:d} publishes of {deadline_ms:d} ms that work {work_ms:d} ms are"
    ' started through "{entry}"'
)
def step_start_working(context, count, deadline_ms, work_ms, entry):
    start_publishes(
        context, count, entry, deadline_ms=deadline_ms, work_ms=work_ms
    )


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
    outcomes = [fut.result() for fut in context.started]
    assert all(each.verdict == verdict for each in outcomes), describe(outcomes)
    copies = len(outcomes) // len(context.keys)
    for start in range(0, len(outcomes), copies):
        group = outcomes[start : start + copies]
        assert len({each.body for each in group}) == 1, describe(group)


@then("every publish was executed {times:d} time")
@then("every publish was executed {times:d} times")
def step_every_executed(context, times):
    counts = [count_executions(context, key) for key in context.keys]
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
    fut = start_publish(context, context.key, entry)
    context.outcome = fut.result()


@when('a caller publishes to "desk" through "{entry}" with the same key')
def step_publish_same_key(context, entry):
    context.outcome = start_publish(context, context.key, entry).result()


@when(
    'a caller publishes to "desk" through "{entry}" without a key, to work'
    " {work_ms:d} ms in {deadline_ms:d} ms"
)
def step_publish_without_key(context, entry, work_ms, deadline_ms):
    context.key = uuid.uuid4().hex
    context.options = {
        "service": "desk",
        "method": "POST",
        "path": "/bulletins",
        "body": b"{}",
        # The target counts executions by this header.
        "headers": {"X-Key": context.key, "X-Work-Ms": str(work_ms)},
    }
    context.outcome = context.run(
        send_call(
            context.fleet.session,
            context.fleet.nodes[entry].caller,
            deadline_ms=deadline_ms,
            **context.options,
        )
    )


@when('the caller asks "{entry}" again under the key that it was given')
def step_ask_again(context, entry):
    context.outcome = context.run(
        send_call(
            context.fleet.session,
            context.fleet.nodes[entry].caller,
            key=context.outcome.headers["Guavawing-Key"],
            **context.options,
        )
    )


@then("its call was executed {times:d} time")
@then("its key was executed {times:d} time")
@then("its key was executed {times:d} times")
def step_its_key(context, times):
    assert count_executions(context, context.key) == times
