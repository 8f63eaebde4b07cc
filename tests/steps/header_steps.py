"""Steps that parse the headers of requests."""

from behave import then, when

from guavawing.platform.headers import parse_request_head


@when('a client\'s request has the headers "{text}"')
def step_headers(context, text):
    pairs = (line.encode().split(b": ") for line in text.split(", "))
    context.head = parse_request_head([(name, value) for name, value in pairs])


@then('the headers "{text}" are forwarded')
def step_forwarded(context, text):
    lines = [line.encode() + b"\r\n" for line in text.split(", ")]
    assert context.head.forwarded == b"".join(lines), context.head
