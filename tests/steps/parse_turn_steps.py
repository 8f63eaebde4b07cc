"""Steps for the turns of connections with costly bytes."""

from behave import given, then, when

from guavawing.traffic.parse_turns import TurnQueue, ends_turn, is_costly


@then(
    "a message with {framing:d} bytes of framing and {body:d} of body {verb}"
    " costly"
)
def step_costly(context, framing, body, verb):
    costly = is_costly(framing_bytes=framing, body_bytes=body)
    assert costly == (verb == "is"), costly


@then(
    "a turn from {before:d} to {framing:d} bytes of framing with {body:d} of"
    " body {verb} over"
)
def step_turn_over(context, before, framing, body, verb):
    over = ends_turn(framing_bytes=framing, body_bytes=body, before_turn=before)
    assert over == (verb == "is"), over


@given('the connections "{names}" wait for a turn')
def step_queue(context, names):
    context.queue, context.turns = TurnQueue(), []
    for name in names.split(", "):
        context.queue.add(name)


@when("the connection whose turn it is waits again, {count:d} times")
def step_turns(context, count):
    for _ in range(count):
        name = context.queue.pop()
        context.turns.append(name)
        context.queue.add(name)


@when('the connection "{name}" is closed')
def step_closed(context, name):
    context.queue.discard(name)


@then('the turns went to "{names}"')
def step_order(context, names):
    assert context.turns == names.split(", "), context.turns
