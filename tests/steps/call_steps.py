"""Steps that send calls through a fleet."""

from behave import then, when

from tests.fleet_support import check_executions, send_keyed
from tests.support import PUBLISH, send

READ = {"service": "desk", "path": "/packages/1"}
BAD_REQUESTS = {
    "no fault": {},
    "no deadline": {"deadline_ms": None},
    "a passed deadline": {"deadline_ms": 0},
    "a malformed deadline": {
        "deadline_ms": None,
        "headers": {"Guavawing-Deadline-Ms": "soon"},
    },
    "a malformed depth": {"headers": {"Guavawing-Depth": "-3"}},
    "120 headers": {"headers": {f"X-{number}": "a" for number in range(120)}},
    "an unknown route": {"method": "PATCH"},
    "too large a body": PUBLISH | {"body": b"x" * (1_048_576 + 1)},
}


@when('a caller reads "{service}" through "{node}"')
@when(
    'a caller reads "{service}" through "{node}" with a deadline of'
    " {deadline_ms:d} ms"
)
def step_read(context, service, node, **options):
    send(context, node, **READ | {"service": service}, **options)


@when('a caller sends "{service}" a request with {fault} through "{node}"')
def step_bad_request(context, service, fault, node):
    options = READ | BAD_REQUESTS[fault] | {"service": service}
    send(context, node, **options)


@when('a caller publishes to "desk" through "{node}" with key "{key}"')
def step_publish(context, node, key):
    send_keyed(context, node, key)


@when(
    'a caller publishes to "desk" through "{node}" with key "{key}" for'
    " {length:d} bytes"
)
def step_publish_bytes(context, node, key, length):
    headers = {"X-Answer-Bytes": str(length)}
    send_keyed(context, node, key, body=b"", headers=headers)


@when('a caller deletes from "desk" through "{node}" with key "{key}"')
def step_delete(context, node, key):
    options = {"method": "DELETE", "path": "/bulletins/1", "body": b""}
    send_keyed(context, node, key, **options)


@then('the header "{name}" is "{value}"')
def step_header(context, name, value):
    assert context.outcome.headers.get(name) == value, context.outcome


@then('the verdict is "{verdict}" with reason "{reason}"')
def step_verdict(context, verdict, reason):
    outcome = context.outcome
    assert (outcome.verdict, outcome.reason) == (verdict, reason), outcome


@then('the verdict is "{verdict}", because of "{one}" or "{other}"')
@then('the verdict is "{verdict}" because the deadline has passed')
def step_verdict_or(
    context, verdict, one="deadline-passed", other="target-timeout"
):
    # The owner answers at the deadline, when the entry node's own timer ends
    # too; either reason is correct.
    outcome = context.outcome
    assert outcome.verdict == verdict, outcome
    assert outcome.reason in (one, other), outcome


@then("the status is {status:d}")
def step_status(context, status):
    assert context.outcome.status == status, context.outcome


@then("the answer comes within {seconds:g} s")
def step_within(context, seconds):
    assert context.outcome.elapsed_s <= seconds, context.outcome


@then("its key was executed {times:d} time")
@then("its key was executed {times:d} times")
@then("every publish was executed {times:d} time")
@then("every publish was executed {times:d} times")
def step_executions(context, times):
    check_executions(context, context.keys, times)
