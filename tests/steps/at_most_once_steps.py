"""Steps that send non-idempotent calls while processes fail."""

import itertools
import uuid

from behave import given, then, when

from tests.fleet_support import read_statuses, send_keyed, wait_until
from tests.support import (
    PUBLISH,
    send,
    set_platform_faults,
    set_target_faults,
    start_call,
)

ENTRY_KEYS_PATH = "/guavawing/keys"
CALLS = {"publishes": PUBLISH, "reads": {"service": "desk", "path": "/read"}}
# The slot of a call whose connection was closed stays occupied for 1 s.
SLOTS_FREE_TIMEOUT_S = 3.0
TARGET_FAULTS = {"drop": "drop_answers", "truncate": "truncate_answers"}


@given('the targets of "{service}" {fault} {count:d} answers each')
@given('the targets of "{service}" {fault} {count:d} answer each')
def step_target_faults(context, service, fault, count):
    set_target_faults(context, service, **{TARGET_FAULTS[fault]: count})
    context.add_cleanup(set_target_faults, context, service)


@given('no target of "{service}" holds a slot')
def step_slots_free(context, service):
    def are_free():
        return not any(
            status["load"]["running"]
            for status in read_statuses(context).values()
            if status["service"] == service
        )

    wait_until(SLOTS_FREE_TIMEOUT_S, are_free)


@given("the platform loses {count:d} reply")
def step_platform_loses(context, count):
    set_platform_faults(context, lose_replies=count)
    context.add_cleanup(set_platform_faults, context)


@when(
    "{count:d} {kind:w} with a deadline of {deadline_ms:d} ms are started"
    ' through "{entries}"'
)
@when(
    "{count:d} {kind:w} with a deadline of {deadline_ms:d} ms and {work_ms:d}"
    ' ms of work are started through "{entries}"'
)
@when(
    "{copies:d} copies of each of {count:d} {kind:w} with a deadline of"
    " {deadline_ms:d} ms and {work_ms:d} ms of work are started through"
    ' "{entries}"'
)
def step_start_calls(
    context, count, kind, deadline_ms, entries, work_ms=0, copies=1
):
    headers = {"X-Work-Ms": str(work_ms)}
    options = {"headers": headers, "deadline_ms": deadline_ms}
    context.options = CALLS[kind] | options
    context.keys = [
        uuid.uuid4().hex if kind == "publishes" else "" for _ in range(count)
    ]
    start_calls(context, entries, copies)


def start_calls(context, entries, copies=1):
    entry_cycle = itertools.cycle(entries.split(", "))
    context.started = [
        start_call(context, next(entry_cycle), key=key, **context.options)
        for key in context.keys
        for _ in range(copies)
    ]


@when('the publishes are sent again through "{entry}"')
def step_send_again(context, entry):
    start_calls(context, entry)


@when("their callers disconnect")
def step_disconnect(context):
    for fut in context.started:
        fut.cancel()


# behave tries the last decorator first. The pattern of the first one also
# matches the texts of the second one.
@then('every verdict is "{verdict}"')
@then('every verdict is "{verdict}" with reason "{reason}"')
def step_every_verdict(context, verdict, reason=""):
    outcomes = [fut.result() for fut in context.started]
    found = {(each.verdict, reason and each.reason) for each in outcomes}
    assert found == {(verdict, reason)}, outcomes


@then("every copy of a publish has the same answer")
def step_same_answers(context):
    bodies = [fut.result().body for fut in context.started]
    copies = len(bodies) // len(context.keys)
    for start in range(0, len(bodies), copies):
        assert len({*bodies[start : start + copies]}) == 1, bodies


@when('a caller requests {count:d} keys of "{service}" from "{entry}"')
def step_request_keys(context, entry, count, service):
    address = context.fleet.nodes[entry].caller
    url = f"http://{address}{ENTRY_KEYS_PATH}?service={service}&count={count}"

    async def request():
        async with context.fleet.session.post(url) as resp:
            return await resp.json()

    context.received_keys = context.run(request())["keys"]


@then("it gets {count:d} keys")
def step_got_keys(context, count):
    assert len(set(context.received_keys)) == count, context.received_keys


@when('a caller publishes to "desk" through "{entry}" with its next key')
def step_publish_next_key(context, entry):
    send_keyed(context, entry, context.received_keys.pop())


@when('a caller publishes to "desk" through "{entry}" with the same key')
def step_publish_same_key(context, entry):
    (key,) = context.keys
    send_keyed(context, entry, key)


@when(
    'a caller publishes to "desk" through "{entry}" without a key, with a'
    " deadline of {deadline_ms:d} ms and {work_ms:d} ms of work"
)
def step_publish_without_key(context, entry, work_ms, deadline_ms):
    # The target counts executions by this header.
    headers = {"X-Key": uuid.uuid4().hex, "X-Work-Ms": str(work_ms)}
    context.keys = [headers["X-Key"]]
    context.options = PUBLISH | {"headers": headers}
    send(context, entry, deadline_ms=deadline_ms, **context.options)


@when(
    'the caller repeats the call through "{entry}" with the key that it'
    " received"
)
def step_repeat_call(context, entry):
    key = context.outcome.headers["Guavawing-Key"]
    send(context, entry, key=key, **context.options)
